package replay

import "time"

// Order decides which workspace's request starts next on an engine with free capacity. The
// production queue can replace the simple implementations here.
type Order interface {
	// Less reports whether a waiting request of workspace a, due at dueA, starts before one of
	// workspace b, due at dueB.
	Less(a, b int, dueA, dueB time.Duration) bool
	// Arrived records that a request of the workspace waits; idle says that no other request of the
	// workspace is waiting or running.
	Arrived(workspace int, idle bool)
	// Started charges the service time of a request to its workspace.
	Started(workspace int, service time.Duration)
}

// fairOrder is start-time fair queueing over service time with equal weights.
type fairOrder struct {
	finishTag   []float64
	virtualTime float64
}

func newFairOrder(workspaces int) *fairOrder {
	return &fairOrder{finishTag: make([]float64, workspaces)}
}

func (f *fairOrder) Less(a, b int, dueA, dueB time.Duration) bool {
	if f.finishTag[a] != f.finishTag[b] {
		return f.finishTag[a] < f.finishTag[b]
	}
	return dueA < dueB
}

// Arrived lets a workspace that was idle resume at the current virtual time, without credit for the idle time.
func (f *fairOrder) Arrived(workspace int, idle bool) {
	if idle {
		f.finishTag[workspace] = max(f.finishTag[workspace], f.virtualTime)
	}
}

func (f *fairOrder) Started(workspace int, service time.Duration) {
	f.virtualTime = max(f.virtualTime, f.finishTag[workspace])
	f.finishTag[workspace] += service.Seconds()
}

// arrivalOrder is first come, first served.
type arrivalOrder struct{}

func (arrivalOrder) Less(_, _ int, dueA, dueB time.Duration) bool { return dueA < dueB }
func (arrivalOrder) Arrived(int, bool)                            {}
func (arrivalOrder) Started(int, time.Duration)                   {}
