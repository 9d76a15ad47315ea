package shares

import (
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
)

const (
	// regrantDelay is the time from reading the last end of a membership until the regranted parts can be spent. By
	// then every lease of an ended member has expired, whether it was based on the log or on promises.
	regrantDelay = lease.Duration + lease.Margin
	// rankDelay is how long each member waits for the member before it to append a record that any member may
	// append.
	rankDelay = time.Second
	// maxRank limits the wait in a large fleet.
	maxRank = 10
	// appendRetryInterval is how long to wait for an appended record to be read from the log before it is appended
	// again.
	appendRetryInterval = 5 * time.Second
)

// Settlement regrants the shares of ended members: it returns this instance's frozen counters to members that ask for
// them, collects the counters of the other members and decides when a regrant record can be appended. It is not safe for
// concurrent use.
type Settlement struct {
	manager        *Manager
	promises       *lease.Promiser
	positions      map[string]uint64          // last reported position in the control stream, by member
	unsettled      []string                   // ended members whose shares are not regranted yet
	unsettledSince time.Duration              // when unsettled last changed
	counters       map[string]ledger.NetParts // frozen counters with the unsettled members, by live member
	appended       bool
	appendedAt     time.Duration
	grantAt        map[string]time.Duration // when to append a grant, by workspace without one
}

// NewSettlement returns the settlement for the manager's instance.
func NewSettlement(m *Manager, p *lease.Promiser) *Settlement {
	return &Settlement{
		manager: m, promises: p,
		positions: map[string]uint64{}, counters: map[string]ledger.NetParts{}, grantAt: map[string]time.Duration{},
	}
}

// RecordPosition records the position in the control stream that a member's heartbeat carried.
func (s *Settlement) RecordPosition(incarnation string, controlNext uint64) {
	if s.manager.members.Active(incarnation) {
		s.positions[incarnation] = max(s.positions[incarnation], controlNext)
	}
}

// ControlApplied updates the unsettled members after entries of the control stream have been applied to the folds.
func (s *Settlement) ControlApplied(now time.Duration) {
	var unsettled []string
	for _, e := range s.manager.fold.Unsettled() {
		unsettled = append(unsettled, e.Incarnation)
		s.promises.Refuse(e.Incarnation)
	}
	for inc := range s.positions {
		if !s.manager.members.Active(inc) && !slices.Contains(unsettled, inc) {
			delete(s.positions, inc)
		}
	}
	if !slices.Equal(unsettled, s.unsettled) {
		s.unsettled, s.unsettledSince, s.appended = unsettled, now, false
		clear(s.counters)
	}
}

// FrozenCounters returns this instance's counters with the ended members. It reports false until this instance has read
// that all of them ended and its promises to them have lapsed.
func (s *Settlement) FrozenCounters(now time.Duration, ended []string) (ledger.NetParts, bool) {
	for _, inc := range ended {
		if !s.manager.members.Ended(inc) || !s.promises.Lapsed(now, inc) {
			return nil, false
		}
	}
	return s.manager.counters.Frozen(ended), !s.manager.ended
}

// MissingCounters returns the ended members to settle and the live members whose counters with them have not been
// recorded yet. It returns nil while this instance waits for another member to settle them.
func (s *Settlement) MissingCounters(now time.Duration) (ended, from []string) {
	m := s.manager
	if len(s.unsettled) == 0 || m.ended || !m.members.Active(m.self) || now < s.unsettledSince+s.appendDelay() {
		return nil, nil
	}
	for _, member := range m.members.ActiveMembers() {
		if _, ok := s.counters[member.Incarnation]; !ok && member.Incarnation != m.self {
			from = append(from, member.Incarnation)
		}
	}
	return s.unsettled, from
}

// appendDelay returns how long this instance waits for members before it, in the order of incarnations, to append a
// record. The delay makes it likely that only one member appends it.
func (s *Settlement) appendDelay() time.Duration {
	rank := 0
	for _, member := range s.manager.members.ActiveMembers() {
		if member.Incarnation < s.manager.self && rank < maxRank {
			rank++
		}
	}
	return time.Duration(rank) * rankDelay
}

// RecordCounters records a live member's frozen counters with the ended members that the request named.
func (s *Settlement) RecordCounters(from string, ended []string, net ledger.NetParts) {
	if slices.Equal(ended, s.unsettled) && s.manager.members.Active(from) {
		s.counters[from] = net
	}
}

// Regrant returns the record to append once the counters of all live members have been recorded. The record never
// contains counters of a member that has ended since, because each end changes the unsettled members and clears the
// counters.
func (s *Settlement) Regrant(now time.Duration) (ledger.Regrant, bool) {
	ended, from := s.MissingCounters(now)
	if len(ended) == 0 || len(from) > 0 || (s.appended && now < s.appendedAt+appendRetryInterval) || !s.quorumsIntersect(ended) {
		return ledger.Regrant{}, false
	}
	own, ok := s.FrozenCounters(now, ended)
	if !ok {
		return ledger.Regrant{}, false
	}
	r := ledger.Regrant{Ended: slices.Clone(ended), Reports: map[string]ledger.NetParts{s.manager.self: own}}
	for inc, net := range s.counters {
		r.Reports[inc] = net
	}
	s.appended, s.appendedAt = true, now
	return r, true
}

// quorumsIntersect reports whether no ended member can still hold a lease from the promises of other members that were
// partitioned from the fleet together with it: every majority that it can form includes an active member, or it is dead.
func (s *Settlement) quorumsIntersect(ended []string) bool {
	for _, inc := range ended {
		e, ok := s.manager.members.Get(inc)
		if ok && e.Reason == members.Silent && !s.manager.members.QuorumsIntersect(max(s.positions[inc], e.JoinOffset+1)) {
			return false
		}
	}
	return true
}

// DueGrants returns the configured workspaces for which this instance should append a grant record now.
func (s *Settlement) DueGrants(now time.Duration) []string {
	m := s.manager
	if m.ended || !m.members.Active(m.self) {
		return nil
	}
	var out []string
	for _, ws := range m.sortedWorkspaces() {
		if m.accounts[ws].removed || m.fold.Granted(ws) {
			delete(s.grantAt, ws)
			continue
		}
		at, ok := s.grantAt[ws]
		if !ok {
			at = now + s.appendDelay()
			s.grantAt[ws] = at
		}
		if now >= at {
			out = append(out, ws)
			s.grantAt[ws] = now + appendRetryInterval
		}
	}
	return out
}
