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
	finish  []float64
	virtual float64
}

func newFairOrder(spaces int) *fairOrder { return &fairOrder{finish: make([]float64, spaces)} }

func (f *fairOrder) Less(a, b int, atA, atB time.Duration) bool {
	if f.finish[a] != f.finish[b] {
		return f.finish[a] < f.finish[b]
	}
	return atA < atB
}

// Arrived lets a workspace that was idle continue at the current virtual time, without credit.
func (f *fairOrder) Arrived(space int, idle bool) {
	if idle {
		f.finish[space] = max(f.finish[space], f.virtual)
	}
}

func (f *fairOrder) Started(space int, service time.Duration) {
	f.virtual = max(f.virtual, f.finish[space])
	f.finish[space] += service.Seconds()
}

// arrivalOrder is first come, first served.
type arrivalOrder struct{}

func (arrivalOrder) Less(_, _ int, atA, atB time.Duration) bool { return atA < atB }
func (arrivalOrder) Arrived(int, bool)                          {}
func (arrivalOrder) Started(int, time.Duration)                 {}
