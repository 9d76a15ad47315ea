package daemon

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/machine"
	"github.com/turmericworks/turmericworks/internal/state/config"
)

// defaultMemoryMB is assumed if neither the settings nor GOMEMLIMIT name the memory.
const defaultMemoryMB = 1024

// memory returns the bytes that the process may use.
func (l Limits) memory() int64 {
	if l.MemoryMB > 0 {
		return int64(l.MemoryMB) << 20
	}
	if limit := debug.SetMemoryLimit(-1); limit < machine.NoMemoryLimit {
		return machine.MemoryOf(limit)
	}
	return defaultMemoryMB << 20
}

// descriptors returns the number of open descriptors that the process may have.
func (l Limits) descriptors() int {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	return machine.Descriptors()
}

// callers returns the limits on callers' connections, and on those to workers and between instances.
func (l Limits) callers() callerlimits.Limits { return l.callersWith(l.descriptors()) }

// callersWith returns the limits for a number of descriptors.
func (l Limits) callersWith(descriptors int) callerlimits.Limits {
	out := callerlimits.Derive(l.memory(), descriptors)
	if l.MaxWorkerConnections > 0 {
		out = out.WithWorkers(l.MaxWorkerConnections)
	}
	if l.MaxPeerConnections > 0 {
		out = out.WithPeers(l.MaxPeerConnections)
	}
	out.Bytes[callerlimits.Bodies] = min(out.Bytes[callerlimits.Bodies], int64(l.MaxBodyMemoryBytes))
	out.Fields, out.MinRate = l.MaxFields, int64(l.MinBytesPerSecond)
	out.ReadWindow = time.Duration(l.ReadWindowSeconds) * time.Second
	if l.WriteWindowSeconds > 0 {
		out.WriteWindow = l.writeWindow()
	}
	return out
}

// writeWindow returns how long a caller may be stalled in a response, 0 if it is not set.
func (l Limits) writeWindow() time.Duration { return time.Duration(l.WriteWindowSeconds) * time.Second }

// check names the limits that contradict the memory or the descriptors. The defaults contradict nothing: less is used where they
// exceed what the machine allows.
func (l Limits) check(tls bool) config.Problems {
	var p config.Problems
	if l.Descriptors > machine.Descriptors() {
		p = append(p, config.Problem{Path: "/limits/descriptors", Message: "exceeds the process's limit (RLIMIT_NOFILE)"})
	}
	allowed, defaults := l.callers(), DefaultSettings().Limits
	connections := 0
	if l.MaxConnections != defaults.MaxConnections {
		connections = l.MaxConnections
	}
	if l.Descriptors > 0 {
		if smallest, tooSmall := callerlimits.SharesTooSmall(l.Descriptors, connections, l.callersWith); tooSmall {
			p = append(p, config.Problem{Path: "/limits/descriptors", Message: fmt.Sprintf(
				"must be at least %d, so that callers, workers, instances and the rest have %d each", smallest, callerlimits.MinShare)})
		}
	}
	if tls {
		allowed = allowed.WithTLS()
	}
	if l.MaxConnections != defaults.MaxConnections && l.MaxConnections > allowed.Connections {
		p = append(p, config.Problem{Path: "/limits/max_connections", Message: fmt.Sprintf(
			"contradicts /limits/memory_mb and /limits/descriptors, which allow %d connections", allowed.Connections)})
	}
	if taken, left := allowed.Shares(l.descriptors()); taken+left > l.descriptors() && (l.MaxWorkerConnections > 0 || l.MaxPeerConnections > 0) {
		p = append(p, config.Problem{Path: "/limits", Message: fmt.Sprintf(
			"connections of callers, max_worker_connections and max_peer_connections take %d descriptors together and leave fewer than %d of %d", taken, left, l.descriptors())})
	}
	if bodies := allowed.Bytes[callerlimits.Bodies]; l.MaxBodyMemoryBytes != defaults.MaxBodyMemoryBytes && int64(l.MaxBodyMemoryBytes) > bodies {
		p = append(p, config.Problem{Path: "/limits/max_body_memory_bytes", Message: fmt.Sprintf(
			"contradicts /limits/memory_mb, which allows %d bytes of bodies", bodies)})
	}
	return p
}

// ApplyMemoryLimit sets the Go runtime's memory limit.
func (l Limits) ApplyMemoryLimit() { debug.SetMemoryLimit(machine.RuntimeLimit(l.memory())) }
