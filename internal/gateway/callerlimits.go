package gateway

import (
	"fmt"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/callerlimits"
	"github.com/turmericworks/turmericworks/internal/machine"
	"github.com/turmericworks/turmericworks/internal/transport/guard"
)

// CallerLimits bound what connections of callers hold. A field that is 0 has its default.
type CallerLimits struct {
	// Descriptors is the number of open descriptors that the process may have. Callers take at most a third of it. Default: the
	// process's own limit (RLIMIT_NOFILE).
	Descriptors int `json:"descriptors"`
	// MaxConnections is the number of open connections of callers. Default: what memory_mb and descriptors allow.
	MaxConnections int `json:"max_connections"`
	// MaxWorkerConnections is the number of open connections to workers, idle ones included, of which one worker has at most half.
	// Default: a third of descriptors.
	MaxWorkerConnections int `json:"max_worker_connections"`
	// MaxPeerConnections is the number of open connections between this instance and others, half of it in each direction. Default:
	// a sixth of descriptors.
	MaxPeerConnections int `json:"max_peer_connections"`
	// MaxFields is the number of header fields of a request.
	MaxFields int `json:"max_fields"`
	// MinBytesPerSecond is the rate below which a caller that has to send or to read counts as stalled, and ReadWindowS and
	// WriteWindowS are the times in seconds after which a stalled one is disconnected.
	MinBytesPerSecond int `json:"min_bytes_per_second"`
	ReadWindowS       int `json:"read_window_s"`
	WriteWindowS      int `json:"write_window_s"`
	// MaxUnreadKB is the part of one streamed response, in KB, that is held for a caller that reads slowly.
	MaxUnreadKB int `json:"max_unread_kb"`
}

// descriptors returns the number of open descriptors that the process may have.
func (s Settings) descriptors() int {
	if n := s.CallerLimits.Descriptors; n > 0 {
		return n
	}
	return machine.Descriptors()
}

// derivedLimits returns the limits that follow from the machine.
func (s Settings) derivedLimits() callerlimits.Limits { return s.derivedLimitsWith(s.descriptors()) }

// derivedLimitsWith returns those for a number of descriptors.
func (s Settings) derivedLimitsWith(descriptors int) callerlimits.Limits {
	return callerlimits.Derive(int64(max(s.MemoryMB, minMemoryMB))<<20, descriptors)
}

// callerLimits returns the limits on callers' connections.
func (s Settings) callerLimits() callerlimits.Limits { return s.callerLimitsWith(s.descriptors()) }

// callerLimitsWith returns the limits for a number of descriptors.
func (s Settings) callerLimitsWith(descriptors int) callerlimits.Limits {
	out, set := s.derivedLimitsWith(descriptors), s.CallerLimits
	if set.MaxConnections > 0 {
		out.Connections = min(out.Connections, set.MaxConnections)
	}
	if set.MaxWorkerConnections > 0 {
		out = out.WithWorkers(set.MaxWorkerConnections)
	}
	if set.MaxPeerConnections > 0 {
		out = out.WithPeers(set.MaxPeerConnections)
	}
	if set.MaxFields > 0 {
		out.Fields = set.MaxFields
	}
	if set.MinBytesPerSecond > 0 {
		out.MinRate = int64(set.MinBytesPerSecond)
	}
	if set.ReadWindowS > 0 {
		out.ReadWindow = time.Duration(set.ReadWindowS) * time.Second
	}
	if set.WriteWindowS > 0 {
		out.WriteWindow = time.Duration(set.WriteWindowS) * time.Second
	}
	if set.MaxUnreadKB > 0 {
		out.Unread.Each = int64(set.MaxUnreadKB) << 10
	}
	return out
}

// checkCallerLimits checks the limits, and names those that contradict each other.
func (s Settings) checkCallerLimits(check func(ok bool, path, what string)) {
	l := s.CallerLimits
	const (
		minFields, minOutbound = 32, 8
		// maxIdleS is the longest time for which callers pause before they go on.
		maxIdleS = 12
	)
	if l.Descriptors != 0 {
		smallest, tooSmall := callerlimits.SharesTooSmall(l.Descriptors, l.MaxConnections, s.callerLimitsWith)
		check(!tooSmall, "caller_limits.descriptors", fmt.Sprintf(
			"must be at least %d, so that callers, workers, instances and the rest have %d each", smallest, callerlimits.MinShare))
	}
	check(l.Descriptors <= machine.Descriptors(), "caller_limits.descriptors", "exceeds the process's limit (RLIMIT_NOFILE)")
	check(l.MaxConnections >= 0, "caller_limits.max_connections", "must not be negative")
	check(l.MaxConnections <= s.derivedLimits().Connections, "caller_limits.max_connections",
		fmt.Sprintf("contradicts memory_mb and caller_limits.descriptors, which allow %d connections", s.derivedLimits().Connections))
	check(l.MaxWorkerConnections == 0 || l.MaxWorkerConnections >= minOutbound, "caller_limits.max_worker_connections", "must be at least 8")
	check(l.MaxPeerConnections == 0 || l.MaxPeerConnections >= minOutbound, "caller_limits.max_peer_connections", "must be at least 8")
	if taken, left := s.callerLimits().Shares(s.descriptors()); l.MaxWorkerConnections > 0 || l.MaxPeerConnections > 0 {
		check(taken+left <= s.descriptors(), "caller_limits", fmt.Sprintf(
			"max_connections, max_worker_connections and max_peer_connections take %d descriptors together and leave fewer than %d of %d", taken, left, s.descriptors()))
	}
	check(l.MaxFields == 0 || l.MaxFields >= minFields, "caller_limits.max_fields", "must be at least 32")
	check(l.MinBytesPerSecond >= 0, "caller_limits.min_bytes_per_second", "must not be negative")
	check(l.ReadWindowS == 0 || l.ReadWindowS > maxIdleS, "caller_limits.read_window_s", "must exceed 12: callers pause for up to 12 s")
	check(l.WriteWindowS == 0 || l.WriteWindowS > maxIdleS, "caller_limits.write_window_s", "must exceed 12: callers pause for up to 12 s")
	check(l.MaxUnreadKB == 0 || l.MaxUnreadKB >= callerlimits.MinUnreadBytes>>10, "caller_limits.max_unread_kb", "must be at least 64")
	unreadKB := s.derivedLimits().Unread.Shared >> 10
	check(int64(l.MaxUnreadKB) <= unreadKB, "caller_limits.max_unread_kb",
		fmt.Sprintf("contradicts memory_mb, which allows %d KB for all callers together", unreadKB))
}

// newGuard returns the guard of a listener, which runs until the end of Serve.
func (g *Gateway) newGuard(name string, l callerlimits.Limits) *guard.Guard {
	out := guard.New(name, l, g.guardMetrics, g.log)
	g.start("guard of "+name, out.Run)
	return out
}
