package guard

import (
	"context"
	"errors"
	"io"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
)

const (
	// minChunk and maxChunk are the sizes of the parts in which a body is held until it is complete. A caller that announces
	// many bytes and sends none holds the least.
	minChunk, maxChunk = 4 << 10, 256 << 10
	// wholeBytes is the announced length up to which a body is read in one part.
	wholeBytes = 16 << 10
)

// ReadBody reads the body of a request with the context of a guarded connection. Its length is negative if it is unknown. The
// memory is counted as it is taken, together with that for further copies of the complete body that the handler makes, until the
// handler ends. Key identifies the caller, empty if it is not known. The error is ErrBodyMemory if there is no memory; it is free
// then.
func ReadBody(ctx context.Context, r io.Reader, length int64, key string, copies int) ([]byte, error) {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil {
		return io.ReadAll(r)
	}
	c.setPhase(callerlimits.Receiving)
	defer c.setPhase(callerlimits.Serving)
	c.setKey(key)
	body, held, err := c.readChunks(r, length)
	if err == nil && copies > 0 {
		err = c.reserve(int64(len(body)) * int64(copies))
	}
	if err != nil {
		c.release(held)
		return nil, err
	}
	return body, nil
}

// readChunks reads a body and returns what it holds, which is not free after an error.
func (c *conn) readChunks(r io.Reader, length int64) (body []byte, held int64, err error) {
	var chunks [][]byte
	total := 0
	for size := minChunk; ; size = min(2*size, maxChunk) {
		if length >= 0 && length <= wholeBytes && total == 0 {
			size = int(length)
		} else if length >= 0 {
			size = int(min(int64(size), length-int64(total)))
		}
		if size == 0 {
			if err := expectEnd(r); err != nil {
				return nil, held, err
			}
			break
		}
		if err := c.reserve(int64(size)); err != nil {
			return nil, held, err
		}
		held += int64(size)
		chunk := make([]byte, size)
		n, err := fill(r, chunk)
		chunks, total = append(chunks, chunk[:n]), total+n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, held, err
		}
	}
	switch len(chunks) {
	case 0:
		return []byte{}, held, nil
	case 1:
		return chunks[0], held, nil
	}
	if err := c.reserve(int64(total)); err != nil {
		return nil, held, err
	}
	body = make([]byte, 0, total)
	for _, chunk := range chunks {
		body = append(body, chunk...)
	}
	c.release(held)
	return body, int64(total), nil
}

// expectEnd reads the end of a body of which all announced bytes were read, so that net/http knows that it is complete.
func expectEnd(r io.Reader) error {
	var b [1]byte
	n, err := fill(r, b[:])
	switch {
	case n > 0:
		return errLength
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// fill reads until the buffer is full. Other than io.ReadFull, it returns the reader's own error.
func fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var k int
		k, err = r.Read(b[n:])
		n += k
	}
	return n, err
}

func (c *conn) setKey(key string) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.SetKey(c.account, key)
}

// reserve counts further bytes of a body, for which other connections may be closed.
func (c *conn) reserve(n int64) error {
	g := c.guard
	g.mu.Lock()
	closeFirst, ok := g.account.Reserve(g.now(), c.account, callerlimits.Bodies, n)
	victims := g.take(closeFirst)
	g.mu.Unlock()
	g.closeVictims(victims, BodyMemory, !ok)
	if !ok {
		return ErrBodyMemory
	}
	return nil
}

func (c *conn) release(n int64) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Reserve(g.now(), c.account, callerlimits.Bodies, -n)
}
