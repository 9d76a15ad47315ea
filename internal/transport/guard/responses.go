package guard

import (
	"context"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
)

// ErrResponseMemory means that a response was not read to its end, because its request ended while it waited for memory.
var ErrResponseMemory = trace.LimitExceeded("the request ended while its response waited for memory")

// responseChunk is the largest part of a response that is read before it is counted.
const responseChunk = 32 << 10

// Responses counts the responses that are read whole before they are passed on to callers. It is safe for concurrent use.
type Responses struct {
	report  *reporter
	mu      sync.Mutex
	account *callerlimits.Responses
	// granted are closed when a response need not wait any longer.
	granted map[*callerlimits.Response]chan struct{}
}

// NewResponses returns an account of limit bytes.
func NewResponses(limit int64, m *Metrics, log zerolog.Logger) *Responses {
	return &Responses{
		report: newReporter("workers", m, log), account: callerlimits.NewResponses(limit), granted: map[*callerlimits.Response]chan struct{}{},
	}
}

// Collectors returns the metrics of the account.
func (r *Responses) Collectors() []prometheus.Collector {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return value()
		})
	}
	return []prometheus.Collector{
		gauge("turmeric_response_bytes_held", "Bytes of responses that are held until their callers have read them.",
			func() float64 { return float64(r.account.Used()) }),
		gauge("turmeric_responses_waiting", "Responses that are not read on until there is memory for them.",
			func() float64 { return float64(r.account.Waiting()) }),
	}
}

// Held are the responses that are held for one request of a caller. It is safe for concurrent use; a nil one counts nothing.
type Held struct {
	of        *Responses
	users     int
	responses []*callerlimits.Response
}

type heldKey struct{}

// Begin returns a context in which ReadResponse counts responses until Release is called. A nil account counts nothing.
func (r *Responses) Begin(ctx context.Context) (context.Context, *Held) {
	if r == nil {
		return ctx, nil
	}
	h := &Held{of: r, users: 1}
	return h.Context(ctx), h
}

// Context returns a context in which ReadResponse counts responses.
func (h *Held) Context(ctx context.Context) context.Context {
	return context.WithValue(ctx, heldKey{}, h)
}

// HeldFor returns what is held for the request of a context.
func HeldFor(ctx context.Context) *Held {
	h, _ := ctx.Value(heldKey{}).(*Held)
	return h
}

// Retain keeps what is held until Release is called once more.
func (h *Held) Retain() *Held {
	if h != nil {
		h.of.mu.Lock()
		defer h.of.mu.Unlock()
		h.users++
	}
	return h
}

// Release frees what is held once it was called for Begin and for each call of Retain.
func (h *Held) Release() {
	if h == nil {
		return
	}
	h.of.mu.Lock()
	defer h.of.mu.Unlock()
	if h.users--; h.users > 0 {
		return
	}
	for _, r := range h.responses {
		h.of.release(r)
	}
	h.responses = nil
}

// release removes a response and lets others be read on. The lock is held.
func (r *Responses) release(response *callerlimits.Response) {
	for _, next := range r.account.Release(response) {
		close(r.granted[next])
		delete(r.granted, next)
	}
	delete(r.granted, response)
}

// Pausable is a body that ends its request if nothing is read for some time.
type Pausable interface {
	// Pause suspends the time limit, and Resume begins it anew.
	Pause()
	Resume()
}

// ReadResponse reads at most limit bytes of a response. In a context of Begin, they are counted, and while there is no room, nothing is
// read until the context ends. The error is ErrResponseMemory then. What is counted of a response that was not read to its end is
// freed.
func ReadResponse(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	h := HeldFor(ctx)
	if h == nil {
		return io.ReadAll(io.LimitReader(body, limit))
	}
	c := &countingReader{ctx: ctx, of: h.of, body: body, response: &callerlimits.Response{}}
	data, err := io.ReadAll(io.LimitReader(c, limit))
	h.of.mu.Lock()
	defer h.of.mu.Unlock()
	if err != nil {
		h.of.release(c.response)
		return nil, err
	}
	h.responses = append(h.responses, c.response)
	return data, nil
}

// countingReader counts what is read of one response.
type countingReader struct {
	ctx      context.Context
	of       *Responses
	body     io.Reader
	response *callerlimits.Response
}

// Read implements io.Reader.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.body.Read(b[:min(len(b), responseChunk)])
	if granted := c.add(n); granted != nil {
		if waitErr := c.wait(granted); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}

// add counts n more bytes. It returns a channel that is closed when there is room for them, nil if there is.
func (c *countingReader) add(n int) chan struct{} {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if c.of.account.Add(c.response, int64(n)) {
		return nil
	}
	granted := make(chan struct{})
	c.of.granted[c.response] = granted
	return granted
}

func (c *countingReader) wait(granted chan struct{}) error {
	c.of.report.enforce(ResponseMemory)
	if p, ok := c.body.(Pausable); ok {
		p.Pause()
		defer p.Resume()
	}
	select {
	case <-granted:
		return nil
	case <-c.ctx.Done():
		return ErrResponseMemory
	}
}
