// Package bytebudget limits the bytes of messages that a process holds in memory.
package bytebudget

import (
	"io"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// ErrExhausted means that the budget does not allow further bytes.
var ErrExhausted = trace.LimitExceeded("the memory for messages is used up")

// Budget is a number of bytes that many messages share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve counts n more bytes, or returns false if they would exceed the limit.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Free returns n reserved bytes.
func (b *Budget) Free(n int64) { b.used.Add(-n) }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Usage is what one message takes from a budget. It is not safe for concurrent use.
type Usage struct {
	budget *Budget
	// free is the number of bytes that are not counted, so that short messages do not depend on others.
	free           int64
	held, reserved int64
}

// NewUsage returns the usage of a message whose first free bytes are not counted.
func (b *Budget) NewUsage(free int64) *Usage { return &Usage{budget: b, free: free} }

// Add counts n more bytes that the message holds, or returns false if the budget does not allow them.
func (u *Usage) Add(n int64) bool {
	u.held += n
	more := max(0, u.held-u.free) - u.reserved
	if more > 0 && !u.budget.Reserve(more) {
		return false
	}
	u.reserved += max(0, more)
	return true
}

// Release returns the message's bytes to the budget.
func (u *Usage) Release() {
	u.budget.used.Add(-u.reserved)
	u.held, u.reserved = 0, 0
}

// Reader counts bytes as they arrive, and not by their announced number: a sender that announces many and sends none
// takes nothing from others. A read beyond the budget fails with ErrExhausted.
type Reader struct {
	io.Reader
	*Usage
}

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !r.Add(int64(n)) {
		return 0, ErrExhausted
	}
	return n, err
}
