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

// callers returns the limits on callers' connections.
func (l Limits) callers() callerlimits.Limits {
	descriptors := l.Descriptors
	if descriptors == 0 {
		descriptors = machine.Descriptors()
	}
	out := callerlimits.Derive(l.memory(), descriptors)
	out.Bytes[callerlimits.Bodies] = min(out.Bytes[callerlimits.Bodies], int64(l.MaxBodyMemoryBytes))
	out.Fields, out.MinRate = l.MaxFields, int64(l.MinBytesPerSecond)
	out.ReadWindow, out.WriteWindow = time.Duration(l.ReadWindowSeconds)*time.Second, time.Duration(l.WriteWindowSeconds)*time.Second
	return out
}

// check names the limits that contradict the memory or the descriptors. The defaults contradict nothing: less is used where they
// exceed what the machine allows.
func (l Limits) check() config.Problems {
	var p config.Problems
	if l.Descriptors > machine.Descriptors() {
		p = append(p, config.Problem{Path: "/limits/descriptors", Message: "exceeds the process's limit (RLIMIT_NOFILE)"})
	}
	allowed, defaults := l.callers(), DefaultSettings().Limits
	if l.MaxConnections != defaults.MaxConnections && l.MaxConnections > allowed.Connections {
		p = append(p, config.Problem{Path: "/limits/max_connections", Message: fmt.Sprintf(
			"contradicts /limits/memory_mb and /limits/descriptors, which allow %d connections", allowed.Connections)})
	}
	if bodies := allowed.Bytes[callerlimits.Bodies]; l.MaxBodyMemoryBytes != defaults.MaxBodyMemoryBytes && int64(l.MaxBodyMemoryBytes) > bodies {
		p = append(p, config.Problem{Path: "/limits/max_body_memory_bytes", Message: fmt.Sprintf(
			"contradicts /limits/memory_mb, which allows %d bytes of bodies", bodies)})
	}
	return p
}

// ApplyMemoryLimit sets the Go runtime's memory limit.
func (l Limits) ApplyMemoryLimit() { debug.SetMemoryLimit(machine.RuntimeLimit(l.memory())) }
