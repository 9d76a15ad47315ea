// Package machine returns how much memory and how many descriptors a process may use.
package machine

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// limitPercent is the part of a process's memory that is the Go runtime's soft limit. Near the limit, the garbage collector
	// runs more often to stay below it.
	limitPercent = 60
	percent      = 100
	// NoMemoryLimit is the runtime's limit if none is set.
	NoMemoryLimit = math.MaxInt64
	// defaultDescriptors is assumed if the system does not report the limit.
	defaultDescriptors = 1024
	// maxDescriptors bounds a limit that stands for no limit.
	maxDescriptors = 1 << 20
)

// RuntimeLimit returns the runtime's memory limit for a process that may use so many bytes.
func RuntimeLimit(memory int64) int64 { return memory / percent * limitPercent }

// MemoryOf returns the bytes, in whole MiB, that a process with a runtime's memory limit may use.
func MemoryOf(limit int64) int64 {
	const mib = 1 << 20
	return (limit/limitPercent*percent + mib - 1) / mib * mib
}

// Descriptors returns the process's limit on open descriptors.
func Descriptors() int {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) != nil {
		return defaultDescriptors
	}
	return int(min(l.Cur, maxDescriptors))
}
