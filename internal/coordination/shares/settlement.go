package shares

import (
	"slices"
	"time"

	"github.com/turmericworks/turmericworks/internal/coordination/lease"
	"github.com/turmericworks/turmericworks/internal/state/ledger"
	"github.com/turmericworks/turmericworks/internal/state/members"
)

const (
	// settleDelay is how long after the last end of a membership was read the regranted parts are spendable: by
	// then every lease of an ended member has run out, whether it came from the log or from promises.
	settleDelay = lease.Duration + lease.Margin
	// authorDelay is how long each further member waits for the one before it to append a record that
	// any member may append.
	authorDelay = time.Second
	// maxAuthorRank bounds the wait in a large fleet.
	maxAuthorRank = 10
	// retryAppend is how long to wait for a record to be read back before it is appended again.
	retryAppend = 5 * time.Second
)

// Settlement regrants the shares of ended members: it answers for this instance's frozen counters,
// collects those of the others and decides when a regrant record can be appended. It is not safe for
// concurrent use.
type Settlement struct {
	manager  *Manager
	promises *lease.Promises
	known    map[string]uint64 // control position that a member last reported
	due      []string
	since    time.Duration // when due last changed
	reports  map[string]ledger.Net
	appended bool
	lastTry  time.Duration
	grants   map[string]time.Duration // workspace without grant, when to append one
}

// NewSettlement returns the settlement for the manager's instance.
func NewSettlement(m *Manager, p *lease.Promises) *Settlement {
	return &Settlement{manager: m, promises: p, known: map[string]uint64{}, reports: map[string]ledger.Net{}, grants: map[string]time.Duration{}}
}

// RecordPosition records the position in the control stream that a member's heartbeat stated.
func (s *Settlement) RecordPosition(incarnation string, controlNext uint64) {
	if s.manager.members.Active(incarnation) {
		s.known[incarnation] = max(s.known[incarnation], controlNext)
	}
}

// ControlApplied follows the folds after entries of the control stream were applied.
func (s *Settlement) ControlApplied(now time.Duration) {
	var due []string
	for _, e := range s.manager.fold.Unsettled() {
		due = append(due, e.Incarnation)
		s.promises.End(e.Incarnation)
	}
	for inc := range s.known {
		if !s.manager.members.Active(inc) && !slices.Contains(due, inc) {
			delete(s.known, inc)
		}
	}
	if !slices.Equal(due, s.due) {
		s.due, s.since, s.appended = due, now, false
		clear(s.reports)
	}
}

// FrozenCounters returns this instance's counters with the ended members. It reports false until all of them are
// known here to have ended and the promises to them have lapsed.
func (s *Settlement) FrozenCounters(now time.Duration, ended []string) (ledger.Net, bool) {
	for _, i := range ended {
		if !s.manager.members.Ended(i) || !s.promises.Lapsed(now, i) {
			return nil, false
		}
	}
	return s.manager.counters.Frozen(ended), !s.manager.ended
}

// MissingCounters returns the ended members to settle and the live members whose counters with them are to be
// asked for. It returns nothing when it isn't this instance's turn.
func (s *Settlement) MissingCounters(now time.Duration) (ended, from []string) {
	m := s.manager
	if len(s.due) == 0 || m.ended || !m.members.Active(m.self) || now < s.since+s.turn() {
		return nil, nil
	}
	for _, q := range m.members.List() {
		if _, ok := s.reports[q.Incarnation]; !ok && q.Incarnation != m.self {
			from = append(from, q.Incarnation)
		}
	}
	return s.due, from
}

// turn returns how long this instance leaves the work to members before it, so that usually one settles.
func (s *Settlement) turn() time.Duration {
	rank := 0
	for _, q := range s.manager.members.List() {
		if q.Incarnation < s.manager.self && rank < maxAuthorRank {
			rank++
		}
	}
	return time.Duration(rank) * authorDelay
}

// RecordCounters records a live member's frozen counters with the ended members that were named in the question.
func (s *Settlement) RecordCounters(from string, ended []string, net ledger.Net) {
	if slices.Equal(ended, s.due) && s.manager.members.Active(from) {
		s.reports[from] = net
	}
}

// Regrant returns the record to append once all live members have reported. Reports of members that ended
// meanwhile are not possible, because an end changes the members due and clears the reports.
func (s *Settlement) Regrant(now time.Duration) (ledger.Regrant, bool) {
	ended, from := s.MissingCounters(now)
	if len(ended) == 0 || len(from) > 0 || (s.appended && now < s.lastTry+retryAppend) || !s.quorum(ended) {
		return ledger.Regrant{}, false
	}
	own, ok := s.FrozenCounters(now, ended)
	if !ok {
		return ledger.Regrant{}, false
	}
	r := ledger.Regrant{Ended: slices.Clone(ended), Reports: map[string]ledger.Net{s.manager.self: own}}
	for i, net := range s.reports {
		r.Reports[i] = net
	}
	s.appended, s.lastTry = true, now
	return r, true
}

// quorum reports whether no ended member can hold a lease by promises of others that were cut off with it.
func (s *Settlement) quorum(ended []string) bool {
	for _, i := range ended {
		e, ok := s.manager.members.Get(i)
		if ok && e.Reason == members.Silent && !s.manager.members.QuorumHeld(max(s.known[i], e.Joined+1)) {
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
	for _, ws := range m.workspaces() {
		if m.accounts[ws].removed || m.fold.Granted(ws) {
			delete(s.grants, ws)
			continue
		}
		at, ok := s.grants[ws]
		if !ok {
			at = now + s.turn()
			s.grants[ws] = at
		}
		if now >= at {
			out = append(out, ws)
			s.grants[ws] = now + retryAppend
		}
	}
	return out
}
