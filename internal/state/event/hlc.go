package event

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// HLC is a timestamp of a hybrid logical clock: Unix milliseconds in the upper 48 bits and a counter in the lower 16.
// The timestamps of causally ordered events have the same order, and all are close to the wall clock.
type HLC uint64

// logicalBits is the size of the counter.
const logicalBits = 16

// String returns "milliseconds.counter".
func (h HLC) String() string {
	return fmt.Sprintf("%d.%d", uint64(h)>>logicalBits, uint64(h)&(1<<logicalBits-1))
}

// Time returns the milliseconds as a time, without the counter.
func (h HLC) Time() time.Time { return time.UnixMilli(int64(h >> logicalBits)) }

// MarshalText implements encoding.TextMarshaler. JSON readers may round a number of this size, but not a string.
func (h HLC) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *HLC) UnmarshalText(text []byte) error {
	milli, counter, ok := strings.Cut(string(text), ".")
	m, err := strconv.ParseUint(milli, 10, 64-logicalBits)
	c, err2 := strconv.ParseUint(counter, 10, logicalBits)
	if !ok || err != nil || err2 != nil {
		return trace.BadParameter("an HLC timestamp does not have the form milliseconds.counter")
	}
	*h = HLC(m<<logicalBits | c)
	return nil
}

// MaxDrift is how far the timestamp of a peer may be ahead of the wall clock. It prevents one wrong clock from
// advancing the clocks of the whole fleet.
const MaxDrift = time.Minute

// Clock is a hybrid logical clock. Its methods take the wall time as an argument. It is not safe for concurrent use.
type Clock struct {
	last HLC
}

func wallHLC(wall time.Time) HLC {
	return HLC(max(0, wall.UnixMilli())) << logicalBits
}

// Now returns the timestamp for a local event or a message to send. It is greater than every timestamp returned or
// observed before, even if the wall clock goes back. A counter that overflows carries into the milliseconds.
func (c *Clock) Now(wall time.Time) HLC {
	c.last = max(c.last+1, wallHLC(wall))
	return c.last
}

// Observe advances the clock to the timestamp of a received message. A timestamp more than MaxDrift ahead of the wall
// clock is refused and has no effect.
func (c *Clock) Observe(remote HLC, wall time.Time) error {
	if remote > wallHLC(wall.Add(MaxDrift)) {
		return trace.BadParameter("the HLC timestamp %s is more than %s ahead of the wall clock", remote, MaxDrift)
	}
	c.last = max(c.last, remote)
	return nil
}
