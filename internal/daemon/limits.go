package daemon

import (
	"runtime/debug"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/machine"
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

// ApplyMemoryLimit sets the Go runtime's memory limit if the settings name the memory.
func (l Limits) ApplyMemoryLimit() {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(machine.RuntimeLimit(l.memory()))
	}
}
