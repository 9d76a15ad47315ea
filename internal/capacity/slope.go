// Package capacity measures costs of the control plane at several sizes within this process, fits a line to each cost,
// extrapolates it to the size of a deployment and compares it with the budget of a node.
package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Point is the value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one cost measured at several sizes, at least three, and its least-squares line.
type Series struct {
	// Name says what is measured. It contains no spaces, so that it can be part of a benchmark name.
	Name string `json:"name"`
	// Per is what the size counts, and Unit is the unit of the values.
	Per    string  `json:"per"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Slope is in Unit per Per.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// At returns the value of the line at a size.
func (s Series) At(size float64) float64 { return s.Intercept + s.Slope*size }

// fit returns the series with its least-squares line. The points must have at least two different sizes.
func (s Series) fit() Series {
	n, sx, sy, sxx, sxy := float64(len(s.Points)), 0.0, 0.0, 0.0, 0.0
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	s.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Intercept = (sy - s.Slope*sx) / n
	return s
}

// measureSeries runs f at each size and fits the line.
func measureSeries(name, per, unit string, sizes []int, f func(size int) (float64, error)) (Series, error) {
	s := Series{Name: name, Per: per, Unit: unit}
	for _, size := range sizes {
		v, err := f(size)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{Size: float64(size), Value: v})
	}
	return s.fit(), nil
}

// cpuTime returns the CPU time that all threads of this process have used.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // cannot fail for RUSAGE_SELF
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerCall returns the CPU time of one call of f in microseconds. It repeats f for long enough that the operating
// system's accounting is accurate to about 1%.
func cpuPerCall(f func()) float64 {
	const minTime = 200 * time.Millisecond
	f() // warm-up: the caches of a running instance are warm
	for n := 1; ; n *= 2 {
		start := cpuTime()
		for range n {
			f()
		}
		if d := cpuTime() - start; d >= minTime {
			return float64(d.Microseconds()) / float64(n)
		}
	}
}

// retainedBytes returns the bytes of heap and stacks that stay in use while the result of build is referenced.
func retainedBytes[T any](build func() (T, error)) (float64, error) {
	before := heapAndStackInUse()
	kept, err := build()
	after := heapAndStackInUse()
	runtime.KeepAlive(kept)
	return after - before, err
}

func heapAndStackInUse() float64 {
	// The second collection also frees what finalizers of the first released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
