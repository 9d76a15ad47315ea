// Package upstream sends HTTP requests to workers, which are backend servers, over pooled connections and reports, for
// each failure, whether the request may have run.
//
// Guarantees: a request is written at most once, to one connection; a connection is reused only after a complete
// response that no further bytes follow; a response that belongs to another attempt is never returned; a response that
// ends with its connection is complete only if the whole request was written.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/bytebudget"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

const (
	// defaultIdleLimit is how long an idle connection is kept if the worker announces no Keep-Alive timeout.
	defaultIdleLimit = 10 * time.Second
	// keepAliveMargin is subtracted from the timeout that a worker announces, in whole seconds, so that the worker
	// does not close the connection while the next request is on its way.
	keepAliveMargin = 700 * time.Millisecond
	// NonRetryableMaxIdle is how long a connection may have been idle to be reused for a non-retryable request. A
	// worker may drop an idle connection without notice, and a request that is then sent on it is lost.
	NonRetryableMaxIdle = time.Second
	// maxIdlePerWorker bounds the idle connections to one worker.
	maxIdlePerWorker = 32
	// asyncWriteBytes is the size of an encoded request in bytes from which it is written while its response is
	// awaited: a worker may respond before it has read a long body.
	asyncWriteBytes = 8 << 10
	// maxResponses is how many responses are read on one connection to find the one that belongs to the request. The
	// others are responses to earlier attempts.
	maxResponses = 3
	// maxStaleBodyBytes bounds the body of a response to an earlier attempt in bytes.
	maxStaleBodyBytes = 1 << 20
	// maxDiscardedBytes and discardTimeout bound the rest of a body that is read only so that its connection can be reused.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = time.Second
	// uploadEndTimeout bounds the wait for the end of a request's write after the connection has ended its response: a worker that
	// goes on reading does so at once.
	uploadEndTimeout = time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 700 * time.Millisecond

	readBufferBytes = 4 << 10
	// headRoom is the room for a head that is usually enough.
	headRoom = 1024
)

// Request is an HTTP request to a worker.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one connection to a worker. It carries one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// source is what reader reads from.
	source *limitedSource
	worker workers.Key
	// idleLimit is how long the connection may be idle.
	idleLimit time.Duration
	idleSince time.Time
	reused    bool
	// writeDone is closed when an asynchronous write of the request has ended. It is nil if the request was written at once.
	// writeErr, the error of the write, is valid from then on.
	writeDone chan struct{}
	writeErr  error
	// release ends the count of the connection.
	release func()
}

// Close implements net.Conn. The error of a close does not matter, since the connection is not used any more.
func (c *Conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// Pool keeps idle connections to workers for reuse. It is safe for concurrent use.
type Pool struct {
	// MaxIdle bounds the idle connections to all workers; 0 stands for no bound. It is set before the first use.
	MaxIdle int
	// Connections counts the open connections and bounds them; nil stands for no bound. It is set before the first use.
	Connections *guard.Outbound
	network     network.Network
	mu          sync.Mutex
	idle        map[workers.Key][]*Conn
	// idleCount is the number of connections in idle.
	idleCount int
}

// NewPool returns an empty pool.
func NewPool(n network.Network) *Pool {
	return &Pool{network: n, idle: map[workers.Key][]*Conn{}}
}

// get returns a pooled connection that has been idle for at most maxIdle, or else a new one.
func (p *Pool) get(ctx context.Context, w *workers.Worker, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.pop(w.Key())
		if c == nil {
			return p.dial(ctx, w)
		}
		if idle := time.Since(c.idleSince); idle <= min(c.idleLimit, maxIdle) && reusable(c.Conn) {
			c.reused = true
			return c, nil
		}
		closeConn(c)
	}
}

// ConnectionRefused reports whether the worker's address refuses connections. If it does, nothing listens there and the
// worker's process has ended.
func (p *Pool) ConnectionRefused(ctx context.Context, w *workers.Worker) bool {
	c, err := p.dial(ctx, w)
	if err == nil {
		closeConn(c)
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (p *Pool) pop(k workers.Key) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[k] = list[:len(list)-1]
	p.idleCount--
	return c
}

func (p *Pool) dial(ctx context.Context, w *workers.Worker) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	release := func() {}
	if p.Connections != nil {
		var err error
		if release, err = p.Connections.Acquire(w.Address); err != nil {
			return nil, err
		}
	}
	nc, err := p.network.Dial(ctx, w.Address)
	if err != nil {
		release()
		return nil, trace.Wrap(err)
	}
	source := &limitedSource{conn: nc, left: unlimited}
	return &Conn{
		Conn: nc, reader: bufio.NewReaderSize(source, readBufferBytes), source: source, worker: w.Key(), idleLimit: defaultIdleLimit,
		release: release,
	}, nil
}

// unlimited is the number of bytes left of a limitedSource without a limit.
const unlimited = -1

var errHeadTooLong = trace.LimitExceeded("the head of the response is longer than %d bytes", network.MaxResponseHeadBytes)

// limitedSource reads from a connection and limits the bytes that are read while the head of a response is awaited. The
// functions of net/http that parse a head have no limit.
type limitedSource struct {
	conn net.Conn
	left int
}

// Read implements io.Reader.
func (s *limitedSource) Read(b []byte) (int, error) {
	switch {
	case s.left == unlimited:
		return s.conn.Read(b)
	case s.left == 0:
		return 0, errHeadTooLong
	}
	n, err := s.conn.Read(b[:min(len(b), s.left)])
	s.left -= n
	return n, err
}

func (p *Pool) put(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[c.worker]
	full := len(list) >= maxIdlePerWorker || p.MaxIdle > 0 && p.idleCount >= p.MaxIdle
	if !full {
		p.idleCount++
		p.idle[c.worker] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		closeConn(c)
	}
}

// CloseOldestIdle closes the connection that has been idle for the longest, and reports whether there was one.
func (p *Pool) CloseOldestIdle() bool {
	var oldest *Conn
	p.mu.Lock()
	for _, list := range p.idle {
		// The first one of each list is its oldest.
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.worker] = p.idle[oldest.worker][1:]
		p.idleCount--
	}
	p.mu.Unlock()
	if oldest == nil {
		return false
	}
	closeConn(oldest)
	return true
}

// Retain closes the idle connections to workers for which keep returns false, and those that have been idle longer
// than their limit.
func (p *Pool) Retain(keep func(workers.Key) bool) {
	var dropped []*Conn
	p.mu.Lock()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(k) && time.Since(c.idleSince) <= c.idleLimit {
				kept = append(kept, c)
			} else {
				dropped = append(dropped, c)
			}
		}
		p.idleCount -= len(list) - len(kept)
		p.idle[k] = kept
		if len(kept) == 0 {
			delete(p.idle, k)
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		closeConn(c)
	}
}

// closeConn closes a connection that is no longer used, so that an error of the close does not matter.
func closeConn(c net.Conn) { _ = c.Close() }

// reusable reports whether an idle connection is open and has no bytes to read. Bytes that belong to no request, or
// a close by the worker, make it unusable.
func reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	readable := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		readable = !errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && !readable
}

// Response is a worker's response whose body is still to be read.
type Response struct {
	*http.Response
	conn *Conn
	pool *Pool
	// stopCancel keeps a later cancellation of the context from closing the connection. It returns false if the
	// close has already started.
	stopCancel func() bool
	// complete is set when the body has been read to its end.
	complete bool
	// discarding is set if the rest of the body is being read in the background, which then closes the response.
	discarding bool
	// closed is set once Close was called.
	closed bool
}

// Match reports whether the headers of a response belong to the request that was sent.
type Match func(h http.Header) bool

// Options control how a request is sent.
type Options struct {
	// Deadline ends the wait for the response, including its body.
	Deadline time.Time
	// MaxIdle is how long a reused connection may have been idle; 0 means up to the connection's own limit.
	MaxIdle time.Duration
	// BeforeSend is called once, before the first byte is sent. If it returns an error, nothing is sent and Send returns
	// the error, which must carry the verdict NotRun.
	BeforeSend func() error
}

// Send sends a request and returns the response that belongs to it. Errors carry a verdict. When ctx is canceled, the
// connection is closed, so that the worker stops its work.
func (p *Pool) Send(ctx context.Context, w *workers.Worker, r Request, m Match, o Options) (*Response, error) {
	maxIdle := o.MaxIdle
	if maxIdle == 0 {
		maxIdle = time.Hour
	}
	c, err := p.get(ctx, w, maxIdle)
	if errors.Is(err, guard.ErrNoDescriptor) {
		return nil, guard.RefuseFull(err)
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "connect_failed", "the backend server cannot be reached")
	}
	resp := &Response{conn: c, pool: p}
	resp.stopCancel = context.AfterFunc(ctx, func() { closeConn(c) })
	if err := resp.exchange(r, m, o); err != nil {
		resp.abandon()
		return nil, err
	}
	return resp, nil
}

// exchange sends the request and reads the response up to its body.
func (resp *Response) exchange(r Request, m Match, o Options) error {
	if err := resp.conn.SetDeadline(o.Deadline); err != nil {
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "connect_failed", "the connection is closed")
	}
	if o.BeforeSend != nil {
		if err := o.BeforeSend(); err != nil {
			return err
		}
	}
	if n, err := resp.conn.write(encodeHead(r), r.Body); err != nil && n == 0 {
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "send_failed", "nothing of the request could be sent")
	}
	for i := range maxResponses {
		resp.conn.source.left = network.MaxResponseHeadBytes
		httpResp, err := readResponse(resp.conn.reader, r.Method)
		resp.conn.source.left = unlimited
		if err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "no_answer", "the backend server gave no complete answer")
		}
		if (resp.conn.reused || i > 0) && joinsTwoHeads(httpResp) {
			break
		}
		if m(httpResp.Header) {
			resp.Response = httpResp
			return nil
		}
		// This is a late response to an earlier attempt; the response to this attempt follows it.
		if n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxStaleBodyBytes)); err != nil || n == maxStaleBodyBytes || httpResp.Close {
			break
		}
	}
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "foreign_answer", "the backend server answered another request")
}

// write sends an encoded head and a body. A long request is written by another goroutine, so that its response can be read at the
// same time; write then returns the full length before the bytes are sent. A long body is not copied: the memory for bodies
// counts it once.
func (c *Conn) write(head, body []byte) (int, error) {
	size := len(head) + len(body)
	c.writeDone, c.writeErr = nil, nil
	if size < asyncWriteBytes {
		var n int
		n, c.writeErr = c.Write(append(head, body...))
		return n, c.writeErr
	}
	c.writeDone = make(chan struct{})
	go func() {
		defer close(c.writeDone)
		if _, c.writeErr = c.Write(head); c.writeErr == nil {
			_, c.writeErr = c.Write(body)
		}
	}()
	return size, nil
}

// fullyWritten reports whether the whole request has been written. It waits for the end of the write at most for the given time.
func (c *Conn) fullyWritten(wait time.Duration) bool {
	if c.writeDone == nil {
		return c.writeErr == nil
	}
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	default:
	}
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	case <-timer.C:
		return false
	}
}

// encodeHead returns the head of a request, with room for a short body.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(headRoom + min(len(r.Body), asyncWriteBytes))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// A write to a bytes.Buffer cannot fail.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the next response whose status is not informational (1xx). An informational response has no body: what follows
// its head is the next head.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !informational(resp) {
			return resp, network.CheckFinalStatus(resp.StatusCode)
		}
	}
}

// informational reports whether a final response follows. It does not after status 101, which ends HTTP on the connection, nor after a
// response that claims to have a body.
func informational(resp *http.Response) bool {
	return resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols &&
		resp.Header.Get("Content-Length") == "" && len(resp.TransferEncoding) == 0
}

// statusLine is the beginning of a response, up to its status.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// joinsTwoHeads reports whether the head of a response contains the status line of another one. A part of a response to an
// earlier attempt, which ends within its head, joins the response that follows it: the status would be that of the first and
// the rest that of the second.
func joinsTwoHeads(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// EndsWithConnection reports whether only the end of the connection ends the body.
func (resp *Response) EndsWithConnection() bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

var errUploadCut = trace.ConnectionProblem(nil, "the connection ended before the whole request was written")

// Read reads the body. The error io.EOF means that the response is complete.
//
// An error of a connection is reported once. If the write of the request gets it, a read gets the end of the connection, as if the
// worker had closed it properly. A body that ends with the connection is thus cut, as far as can be known, unless all of the
// request was written.
func (resp *Response) Read(b []byte) (int, error) {
	n, err := resp.Body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if resp.EndsWithConnection() && !resp.conn.fullyWritten(uploadEndTimeout) {
		return n, errUploadCut
	}
	resp.complete = true
	return n, err
}

// ReadAll reads the rest of the body, whose bytes count as the given usage of memory. It fails if the body does not end
// within limit bytes, at once if it announces more.
func (resp *Response) ReadAll(limit int64, memory *bytebudget.Usage) ([]byte, error) {
	if resp.ContentLength > limit && resp.Request.Method != http.MethodHead {
		return nil, trace.LimitExceeded("response body has %d bytes, more than %d", resp.ContentLength, limit)
	}
	b, err := io.ReadAll(bytebudget.Reader{Reader: io.LimitReader(readerFunc(resp.Read), limit), Usage: memory})
	if err == nil && !resp.complete {
		return b, trace.LimitExceeded("response body is longer than %d bytes", limit)
	}
	return b, err
}

// Discard reads the rest of a body whose content does not matter, so that the connection can be reused, and closes the
// response. A body that has not arrived yet is awaited in the background, and not for long: it may have no end.
func (resp *Response) Discard() {
	discard := func() {
		if _, err := io.Copy(io.Discard, io.LimitReader(readerFunc(resp.Read), maxDiscardedBytes)); err != nil {
			resp.abandon()
			return
		}
		resp.release()
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= int64(resp.conn.reader.Buffered()) {
		discard()
		resp.discarding = true
		return
	}
	resp.discarding = true
	if err := resp.conn.SetDeadline(time.Now().Add(discardTimeout)); err != nil {
		resp.abandon()
		return
	}
	go discard()
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// Close ends the exchange, unless Discard does. The connection returns to the pool if the response was read to its end
// and nothing follows it; otherwise it is closed, which tells the worker to stop. Further calls have no effect: the connection
// may carry another exchange by then.
func (resp *Response) Close() {
	if !resp.discarding && !resp.closed {
		resp.closed = true
		resp.release()
	}
}

// release returns the connection to the pool if it may be reused, and closes it otherwise.
func (resp *Response) release() {
	if !resp.complete || resp.Response == nil || resp.Response.Close || !resp.conn.fullyWritten(0) ||
		resp.conn.reader.Buffered() > 0 || !resp.stopCancel() {
		resp.abandon()
		return
	}
	if err := resp.conn.SetDeadline(time.Time{}); err != nil {
		resp.abandon()
		return
	}
	resp.conn.idleLimit = keepAliveLimit(resp.Header)
	resp.pool.put(resp.conn)
}

// abandon closes the connection.
func (resp *Response) abandon() {
	resp.stopCancel()
	closeConn(resp.conn)
}

// keepAliveLimit returns how long a connection may be idle according to the worker's Keep-Alive header.
func keepAliveLimit(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(s)*time.Second-keepAliveMargin)
		}
	}
	return defaultIdleLimit
}
