package replay

import "time"

// Order decides which workspace's request takes the next free place. The production queue can stand
// in for the simple ones here.
type Order interface {
	// Less reports whether a waiting request of workspace a, which arrived at atA, goes before one
	// of workspace b.
	Less(a, b int, atA, atB time.Duration) bool
	// Arrived tells that a request of the workspace waits; idle means that the workspace had
	// nothing waiting or running.
	Arrived(space int, idle bool)
	// Started charges a request's service to its workspace.
	Started(space int, service time.Duration)
}

// fairOrder is start-time fair queueing over service time with equal weights.
type fairOrder struct {
	finishTag   []float64
	virtualTime float64
}

func newFairOrder(spaces int) *fairOrder { return &fairOrder{finishTag: make([]float64, spaces)} }

func (f *fairOrder) Less(a, b int, atA, atB time.Duration) bool {
	if f.finishTag[a] != f.finishTag[b] {
		return f.finishTag[a] < f.finishTag[b]
	}
	return atA < atB
}

// Arrived lets a workspace that was idle continue at the current virtual time, without credit.
func (f *fairOrder) Arrived(space int, idle bool) {
	if idle {
		f.finishTag[space] = max(f.finishTag[space], f.virtualTime)
	}
}

func (f *fairOrder) Started(space int, service time.Duration) {
	f.virtualTime = max(f.virtualTime, f.finishTag[space])
	f.finishTag[space] += service.Seconds()
}

// arrivalOrder is first come, first served.
type arrivalOrder struct{}

func (arrivalOrder) Less(_, _ int, atA, atB time.Duration) bool { return atA < atB }
func (arrivalOrder) Arrived(int, bool)                          {}
func (arrivalOrder) Started(int, time.Duration)                 {}
