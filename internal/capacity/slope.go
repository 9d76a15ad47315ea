// Package capacity measures what the control plane costs at several sizes in this process, fits a line to each cost and
// extrapolates it to a deployment's size against the budget of a node.
package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Point is a value measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one cost measured at three or more sizes, and the line of least squares through it.
type Series struct {
	// Name says what was measured. It has no blanks, so that it can name a benchmark.
	Name string `json:"name"`
	// Per is what the size counts, and Unit what the value is in.
	Per    string  `json:"per"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Slope is in Unit for each Per.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// At returns the line's value at a size.
func (s Series) At(size float64) float64 { return s.Intercept + s.Slope*size }

// fit sets the line. The points must have at least two different sizes.
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

// measureSeries runs f at each size.
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

// cpuTime returns the processor time that this process has used, by all its threads.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // not possible for RUSAGE_SELF
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerCall returns the processor time of one call of f, in microseconds. It repeats f for long enough that the system's
// accounting is exact to about a per cent.
func cpuPerCall(f func()) float64 {
	const long = 200 * time.Millisecond
	f() // caches are warm in a running instance
	for n := 1; ; n *= 2 {
		start := cpuTime()
		for range n {
			f()
		}
		if d := cpuTime() - start; d >= long {
			return float64(d.Microseconds()) / float64(n)
		}
	}
}

// retainedBytes returns the bytes of heap and stacks that the result of build keeps in use.
func retainedBytes[T any](build func() (T, error)) (float64, error) {
	before := heapAndStackInUse()
	kept, err := build()
	after := heapAndStackInUse()
	runtime.KeepAlive(kept)
	return after - before, err
}

func heapAndStackInUse() float64 {
	// Two collections, so that what finalisers free is gone too.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
