package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestContradictingCallerLimits guards against limits on callers that the machine does not allow, or that well-behaved callers
// reach.
func TestContradictingCallerLimits(t *testing.T) {
	faults := func(l CallerLimits) []string {
		var out []string
		Settings{MemoryMB: 136, CallerLimits: l}.checkCallerLimits(func(ok bool, path, _ string) {
			if !ok {
				out = append(out, path)
			}
		})
		return out
	}
	Convey("Contradicting limits are named", t, func() {
		So(faults(CallerLimits{Descriptors: 96}), ShouldBeEmpty)
		So(faults(CallerLimits{Descriptors: 95}), ShouldResemble, []string{"caller_limits.descriptors"})
		So(faults(CallerLimits{Descriptors: -1}), ShouldResemble, []string{"caller_limits.descriptors"})
		So(faults(CallerLimits{}), ShouldBeEmpty)
		So(faults(CallerLimits{Descriptors: 128, MaxConnections: 42}), ShouldBeEmpty)
		So(faults(CallerLimits{Descriptors: 128, MaxConnections: 43}), ShouldResemble, []string{"caller_limits.max_connections"})
		So(faults(CallerLimits{Descriptors: 2870, MaxConnections: 300, MaxWorkerConnections: 1000, MaxPeerConnections: 600}), ShouldBeEmpty)
		So(faults(CallerLimits{Descriptors: 2870, MaxConnections: 300, MaxWorkerConnections: 1500, MaxPeerConnections: 600}), ShouldResemble, []string{"caller_limits"})
		So(faults(CallerLimits{MaxWorkerConnections: 7, MaxPeerConnections: -1}), ShouldResemble, []string{"caller_limits.max_worker_connections", "caller_limits.max_peer_connections"})
		So(faults(CallerLimits{Descriptors: 1 << 21}), ShouldResemble, []string{"caller_limits.descriptors"})
		So(faults(CallerLimits{ReadWindowS: 12, WriteWindowS: 12}), ShouldResemble, []string{"caller_limits.read_window_s", "caller_limits.write_window_s"})
		So(faults(CallerLimits{MaxUnreadKB: 8704}), ShouldBeEmpty)
		So(faults(CallerLimits{MaxUnreadKB: 63}), ShouldResemble, []string{"caller_limits.max_unread_kb"})
		So(faults(CallerLimits{MaxUnreadKB: 8705}), ShouldResemble, []string{"caller_limits.max_unread_kb"})
	})
}
