package shares

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand estimate. Shorter follows noise, longer makes a shift of
// load wait for its parts.
const demandWindow = time.Second

// demand estimates tokens per second asked for, refused requests included, with exponential decay.
type demand struct {
	sum  float64 // microtokens, decayed
	last time.Duration
}

func (d *demand) decay(now time.Duration) {
	if now > d.last {
		d.sum *= math.Exp(-float64(now-d.last) / float64(demandWindow))
		d.last = now
	}
}

func (d *demand) add(now time.Duration, microtokens int64) {
	d.decay(now)
	d.sum += float64(microtokens)
}

// rate returns microtokens per second.
func (d *demand) rate(now time.Duration) float64 {
	d.decay(now)
	return d.sum / demandWindow.Seconds()
}
