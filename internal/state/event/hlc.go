package event

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// HLC is a time of a hybrid logical clock: milliseconds since 1970 in the upper 48 bits and a counter
// in the lower 16. Times of causally ordered events are ordered; all are close to the wall clock.
type HLC uint64

const logicalBits = 16

// String returns "milliseconds.counter".
func (h HLC) String() string {
	return fmt.Sprintf("%d.%d", uint64(h)>>logicalBits, uint64(h)&(1<<logicalBits-1))
}

// Time returns the wall clock part.
func (h HLC) Time() time.Time { return time.UnixMilli(int64(h >> logicalBits)) }

// MarshalText implements encoding.TextMarshaler. The text form keeps JSON readers from rounding.
func (h HLC) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *HLC) UnmarshalText(text []byte) error {
	milli, counter, ok := strings.Cut(string(text), ".")
	m, err := strconv.ParseUint(milli, 10, 64-logicalBits)
	c, err2 := strconv.ParseUint(counter, 10, logicalBits)
	if !ok || err != nil || err2 != nil {
		return trace.BadParameter("an HLC time is not of the form milliseconds.counter")
	}
	*h = HLC(m<<logicalBits | c)
	return nil
}

// MaxDrift is how far a peer's time may be ahead of the wall clock. One wrong clock must not move the
// clocks of the whole fleet.
const MaxDrift = time.Minute

// Clock is a hybrid logical clock. It takes the wall time as an argument. It is not safe for concurrent
// use.
type Clock struct {
	last HLC
}

func wallHLC(wall time.Time) HLC {
	return HLC(max(0, wall.UnixMilli())) << logicalBits
}

// Now returns the time of a local event or of a message to send. It is greater than every time
// returned or observed before, also when the wall clock goes back. A full counter carries into the
// milliseconds.
func (c *Clock) Now(wall time.Time) HLC {
	c.last = max(c.last+1, wallHLC(wall))
	return c.last
}

// Observe takes over the time of a received message. A time more than MaxDrift ahead of the wall clock
// is refused and has no effect.
func (c *Clock) Observe(remote HLC, wall time.Time) error {
	if remote > wallHLC(wall.Add(MaxDrift)) {
		return trace.BadParameter("the time %s is more than %s ahead", remote, MaxDrift)
	}
	c.last = max(c.last, remote)
	return nil
}
