package gateway

import (
	"fmt"
	"runtime/debug"
)

// guard runs a task. A panic ends only the task: the process has requests in flight that have no part in it.
func (g *Gateway) guard(task string, f func()) {
	defer func() {
		if v := recover(); v != nil {
			g.recordPanic(task, v, debug.Stack())
		}
	}()
	f()
}

// locked calls f while the lock is held, and releases it also if f panics: a request or service that fails would otherwise
// block all others for good.
func (g *Gateway) locked(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// recordPanic logs and counts a panic in a background task or in a call of another instance.
func (g *Gateway) recordPanic(task string, value any, stack []byte) {
	g.metrics.panics.WithLabelValues(task).Inc()
	g.log.Error().Str("in", task).Str("panic", fmt.Sprint(value)).Bytes("stack", stack).Msg("panic")
}
