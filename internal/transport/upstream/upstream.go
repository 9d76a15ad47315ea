// Package upstream sends requests to backend servers over kept connections and tells, for each failure,
// whether the request may have run.
//
// Guarantees: a request is written at most once to one connection; a connection is used again only after a
// complete answer with nothing behind it; an answer that belongs to another attempt is never returned.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"github.com/turmericworks/turmericworks/internal/state/workers"
	"github.com/turmericworks/turmericworks/internal/transport/network"
)

const (
	// keptIdle is how long a connection is kept when the worker does not state its own limit.
	keptIdle = 10 * time.Second
	// keptMargin is subtracted from the limit that a worker states in whole seconds: its close must not
	// cross the next request.
	keptMargin = 700 * time.Millisecond
	// NonRetryableMaxIdle is the longest that a connection may have been idle for a request that may not be
	// repeated. A worker may drop an idle connection without notice, and what is then sent on it is lost.
	NonRetryableMaxIdle = time.Second
	// maxIdlePerWorker bounds the kept connections to one worker.
	maxIdlePerWorker = 32
	// concurrentBody is the size in bytes from which a request is written while its answer is awaited: a
	// worker may answer before it has read a long body.
	concurrentBody = 8 << 10
	// maxForeign is how many answers to other attempts are skipped on one connection.
	maxForeign = 3
	// maxForeignBody bounds such an answer in bytes.
	maxForeignBody = 1 << 20
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 700 * time.Millisecond

	readBuffer = 4 << 10
)

// Request is one request as it goes to a worker.
type Request struct {
	Method string
	// URI is the path and query, as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one connection to a worker. It serves one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	worker workers.Key
	// limit is how long the connection may be idle.
	limit     time.Duration
	idleSince time.Time
	reused    bool
	// writing is closed when the request has been written; nil if it was written at once.
	writing  chan struct{}
	writeErr error
}

// Pool keeps idle connections to workers. It is safe for concurrent use.
type Pool struct {
	network network.Network
	mu      sync.Mutex
	idle    map[workers.Key][]*Conn
}

// NewPool returns an empty pool.
func NewPool(n network.Network) *Pool {
	return &Pool{network: n, idle: map[workers.Key][]*Conn{}}
}

// get returns a kept connection that has been idle for at most maxIdle, or a new one.
func (p *Pool) get(ctx context.Context, w *workers.Worker, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.pop(w.Key())
		if c == nil {
			return p.dial(ctx, w)
		}
		if idle := time.Since(c.idleSince); idle <= min(c.limit, maxIdle) && quiet(c.Conn) {
			c.reused = true
			return c, nil
		}
		closeQuietly(c.Conn)
	}
}

// ConnectionRefused reports whether nothing listens at the worker's address: its process is gone.
func (p *Pool) ConnectionRefused(ctx context.Context, w *workers.Worker) bool {
	c, err := p.dial(ctx, w)
	if err == nil {
		closeQuietly(c.Conn)
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
	return c
}

func (p *Pool) dial(ctx context.Context, w *workers.Worker) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.network.Dial(ctx, w.Address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), worker: w.Key(), limit: keptIdle}, nil
}

func (p *Pool) put(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[c.worker]
	full := len(list) >= maxIdlePerWorker
	if !full {
		p.idle[c.worker] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		closeQuietly(c.Conn)
	}
}

// Retain closes the connections to workers for which keep returns false, and those idle beyond their limit.
func (p *Pool) Retain(keep func(workers.Key) bool) {
	var drop []*Conn
	p.mu.Lock()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(k) && time.Since(c.idleSince) <= c.limit {
				kept = append(kept, c)
			} else {
				drop = append(drop, c)
			}
		}
		p.idle[k] = kept
		if len(kept) == 0 {
			delete(p.idle, k)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		closeQuietly(c.Conn)
	}
}

// closeQuietly closes a connection of which nothing more is expected; its error tells nothing of use.
func closeQuietly(c net.Conn) { _ = c.Close() }

// quiet reports whether a kept connection is open and has no bytes waiting. Bytes of no request, or the
// worker's close, make it useless.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = !errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && !waiting
}

// Response is a worker's answer whose body is still to be read.
type Response struct {
	*http.Response
	conn *Conn
	pool *Pool
	stop func() bool
	// ended says that the body was read to its end.
	ended bool
}

// Match reports whether the headers of an answer belong to the request that was sent.
type Match func(h http.Header) bool

// Options say how a request is sent.
type Options struct {
	// Deadline ends the wait for the answer, its body included.
	Deadline time.Time
	// MaxIdle is the longest that a kept connection may have been idle; 0 means the worker's limit.
	MaxIdle time.Duration
	// BeforeSend is called once, before the first byte goes out.
	BeforeSend func()
}

// Send sends a request and returns the answer that belongs to it. Errors carry a verdict. A canceled ctx
// closes the connection, so that the worker stops its work.
func (p *Pool) Send(ctx context.Context, w *workers.Worker, r Request, m Match, o Options) (*Response, error) {
	maxIdle := o.MaxIdle
	if maxIdle == 0 {
		maxIdle = time.Hour
	}
	c, err := p.get(ctx, w, maxIdle)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "connect_failed", "the backend server cannot be reached")
	}
	a := &Response{conn: c, pool: p}
	a.stop = context.AfterFunc(ctx, func() { closeQuietly(c.Conn) })
	if err := a.exchange(r, m, o); err != nil {
		a.abandon()
		return nil, err
	}
	return a, nil
}

func (a *Response) exchange(r Request, m Match, o Options) error {
	if err := a.conn.SetDeadline(o.Deadline); err != nil {
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "connect_failed", "the connection is closed")
	}
	if o.BeforeSend != nil {
		o.BeforeSend()
	}
	if n, err := a.conn.write(encode(r)); err != nil && n == 0 {
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable, "send_failed", "nothing of the request could be sent")
	}
	for range maxForeign {
		resp, err := readResponse(a.conn.reader, r.Method)
		if err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway, "no_answer", "the backend server gave no complete answer")
		}
		if m(resp.Header) {
			a.Response = resp
			return nil
		}
		// An extra answer to an earlier attempt came late; the one to this attempt follows it.
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody)); err != nil || n == maxForeignBody || resp.Close {
			break
		}
	}
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "foreign_answer", "the backend server answered another request")
}

// write sends the request. Long ones are sent beside the wait for the answer.
func (c *Conn) write(b []byte) (int, error) {
	if len(b) < concurrentBody {
		return c.Write(b)
	}
	c.writing = make(chan struct{})
	go func() {
		defer close(c.writing)
		_, c.writeErr = c.Write(b)
	}()
	return len(b), nil
}

// written reports whether the whole request has been sent.
func (c *Conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case <-c.writing:
		err := c.writeErr
		c.writing, c.writeErr = nil, nil
		return err == nil
	default:
		return false
	}
}

func encode(r Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// A bytes.Buffer takes every write.
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read reads the body. The error io.EOF means that the answer is complete.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// ReadAll reads the rest of the body, of at most limit bytes.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(readerFunc(a.Read), limit))
	if err == nil && !a.ended {
		return b, trace.LimitExceeded("the answer is longer than %d bytes", limit)
	}
	return b, err
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// Close ends the exchange. The connection is kept if the answer was read to its end and nothing follows it;
// otherwise it is closed, which tells the worker to stop.
func (a *Response) Close() {
	if !a.ended || a.Response == nil || a.Response.Close || !a.conn.written() || a.conn.reader.Buffered() > 0 || !a.stop() {
		a.abandon()
		return
	}
	if err := a.conn.SetDeadline(time.Time{}); err != nil {
		a.abandon()
		return
	}
	a.conn.limit = keepAliveLimit(a.Header)
	a.pool.put(a.conn)
}

func (a *Response) abandon() {
	a.stop()
	closeQuietly(a.conn.Conn)
}

// keepAliveLimit returns how long a connection may be idle, from the worker's Keep-Alive header.
func keepAliveLimit(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(s)*time.Second-keptMargin)
		}
	}
	return keptIdle
}
