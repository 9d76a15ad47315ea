package gateway

import "fmt"

// recordPanic logs and counts a panic in a background task or in a call of another instance.
func (g *Gateway) recordPanic(task string, value any, stack []byte) {
	g.metrics.panics.WithLabelValues(task).Inc()
	g.log.Error().Str("in", task).Str("panic", fmt.Sprint(value)).Bytes("stack", stack).Msg("panic")
}
