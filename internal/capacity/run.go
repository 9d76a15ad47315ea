package capacity

import "time"

// readBackDelay is the assumed time until every member has read the first withdrawal from the log.
const readBackDelay = 50 * time.Millisecond

// idleWindow is how long log readers are measured while nothing is appended.
const idleWindow = 3 * time.Second

// Run measures all series. It takes about a minute of CPU time and opens several thousand loopback connections.
func Run() ([]Series, error) {
	// Measured first, because later the runtime could reuse stacks and buffers that other measurements freed.
	connections, err := ConnectionMemory([]int{10, 40, 160})
	if err != nil {
		return nil, err
	}
	out := []Series{connections}
	addPair := func(a, b Series, err error) error {
		out = append(out, a, b)
		return err
	}
	steps := []func() error{
		func() error { return addPair(Heartbeats([]int{0, 5, 20, 50})) },
		func() error { return addPair(EnginePolls([]int{9, 90, 900})) },
		func() error { return addPair(Keys([]int{100, 1000, 10_000})) },
		func() error {
			r, err := Readers([]int{7, 70, 860}, idleWindow)
			out = append(out, r.Reads, r.Bytes, r.InForce)
			return err
		},
	}
	addStep := func(f func() (Series, error)) {
		steps = append(steps, func() error {
			s, err := f()
			out = append(out, s)
			return err
		})
	}
	fleets := []int{7, 70, 430, 860}
	addStep(func() (Series, error) { return Transfers([]int{5, 12, 60}) })
	addStep(func() (Series, error) { return ControlLoop(fleets, 5) })
	addStep(func() (Series, error) { return FleetMemory(fleets, 5) })
	addStep(func() (Series, error) { return WorkspaceMemory([]int{5, 20, 50}, 860) })
	addStep(func() (Series, error) { return ConfigMemory([]int{3000, 30_000, 93_000}) })
	addStep(func() (Series, error) { return ChangeCPU([]int{3000, 30_000, 93_000}) })
	addStep(func() (Series, error) { return SnapshotBytes([]int{3000, 30_000, 93_000}) })
	addStep(func() (Series, error) { return QueueMemory([]int{100, 1000, 8000}) })
	addStep(func() (Series, error) { return EventMemory([]int{1024, 4096, 16_384}) })
	addStep(func() (Series, error) { return ActionBytes([]int{0, 1024, 65_536}) })
	addStep(func() (Series, error) { return ReadBytes([]int{0, 1, 10, 100}) })
	addStep(func() (Series, error) { return ListBytes([]int{7, 70, 860}) })
	addStep(func() (Series, error) { return WithdrawalAppends([]int{7, 70, 430, 860}, readBackDelay) })
	addStep(func() (Series, error) { return RegrantBytes([]int{7, 70, 860}, 5) })
	for _, step := range steps {
		if err := step(); err != nil {
			return out, err
		}
	}
	return out, nil
}
