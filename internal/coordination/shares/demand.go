package shares

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the demand estimate. A shorter one would follow noise; a longer one would
// delay the transfer of parts after a shift of load.
const demandTimeConstant = time.Second

// demand estimates the requested tokens per second, including those of refused requests, with exponential decay.
type demand struct {
	sum  float64 // microtokens, decayed
	last time.Duration
}

func (d *demand) decay(now time.Duration) {
	if now > d.last {
		d.sum *= math.Exp(-float64(now-d.last) / float64(demandTimeConstant))
		d.last = now
	}
}

func (d *demand) add(now time.Duration, microtokens int64) {
	d.decay(now)
	d.sum += float64(microtokens)
}

// rate returns the estimate in microtokens per second.
func (d *demand) rate(now time.Duration) float64 {
	d.decay(now)
	return d.sum / demandTimeConstant.Seconds()
}
