// Package members derives the set of registered members from the join, leave and withdraw records of the control
// stream. An incarnation registers at most once and never becomes a member again after its end.
package members

import (
	"sort"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// The kinds of records that Set applies.
const (
	KindJoin     record.Kind = "join"
	KindLeave    record.Kind = "leave"
	KindWithdraw record.Kind = "withdraw"
)

// Reason says why a membership ended.
type Reason string

// The reasons for the end of a membership.
const (
	// Refused means that a connection to the member was refused, so its process is dead.
	Refused Reason = "refused"
	// Silent means that a majority received nothing from the member. Its process may still run behind a partition.
	Silent Reason = "silent"
	// Left means that the member stopped on its own. Only Set assigns it; a withdraw record cannot.
	Left Reason = "left"
)

// Join registers the incarnation that wrote the record.
type Join struct {
	// Instance is the ID of the instance on the platform.
	Instance string `json:"instance"`
	// PeerAddr is the address at which other instances reach the member.
	PeerAddr string `json:"peer_addr"`
	// DataCentre is the data centre in which the member runs.
	DataCentre string `json:"data_centre"`
	// Previous is the earlier incarnation of the same process, if any. The process no longer acts as it, so that
	// incarnation is dead for whatever reason it was withdrawn.
	Previous string `json:"previous,omitempty"`
}

// Leave ends the membership of the incarnation that wrote the record. The author stops giving promises and sending
// transfers before it appends the record.
type Leave struct{}

// Withdraw ends the membership of another incarnation.
type Withdraw struct {
	Incarnation string `json:"incarnation"`
	Reason      Reason `json:"reason"`
}

// Member is one registered incarnation.
type Member struct {
	Incarnation string `json:"incarnation"`
	Join
	// JoinOffset is the offset of the join record.
	JoinOffset uint64 `json:"joined"`
	// Ended is true if the membership has ended.
	Ended bool `json:"ended,omitempty"`
	// EndOffset is the offset of the record that ended the membership.
	EndOffset uint64 `json:"end,omitempty"`
	// Reason says why the membership ended.
	Reason Reason `json:"reason,omitempty"`
}

// Set holds the members by incarnation. Ended members stay until Remove, because their shares are settled after their
// end. It is not safe for concurrent use.
type Set struct {
	members map[string]*Member
	next    uint64 // offset after the last applied record
	index   int    // index after the last applied record within its append
}

// Snapshot is the exported state.
type Snapshot struct {
	// Next is the offset after the last record that the snapshot covers.
	Next    uint64   `json:"next"`
	Members []Member `json:"members"`
}

// New returns an empty set.
func New() *Set { return &Set{members: map[string]*Member{}} }

// Apply applies one entry and reports whether it changed the members. Entries must be applied in log order. Entries
// before the position of the set are ignored, so that records may be read again or come from the copy of a peer. A
// second copy of a record has no effect, since an incarnation joins and ends only once.
func (s *Set) Apply(e record.Entry) bool {
	if e.Offset+1 < s.next || (e.Offset+1 == s.next && e.Index < s.index) {
		return false
	}
	s.next, s.index = e.Offset+1, e.Index+1
	switch e.Kind {
	case KindJoin:
		var j Join
		if e.Unmarshal(&j) != nil || e.Incarnation == "" || s.members[e.Incarnation] != nil {
			return false
		}
		s.members[e.Incarnation] = &Member{Incarnation: e.Incarnation, Join: j, JoinOffset: e.Offset}
		if p := s.members[j.Previous]; p != nil && j.Previous != e.Incarnation && p.Instance == j.Instance {
			s.end(j.Previous, e.Offset, Left)
			p.Reason = Left
		}
		return true
	case KindLeave:
		return s.end(e.Incarnation, e.Offset, Left)
	case KindWithdraw:
		var w Withdraw
		if e.Unmarshal(&w) != nil || !s.Active(e.Incarnation) || w.Incarnation == e.Incarnation {
			return false
		}
		if w.Reason != Refused {
			w.Reason = Silent
		}
		return s.end(w.Incarnation, e.Offset, w.Reason)
	}
	return false
}

func (s *Set) end(incarnation string, offset uint64, reason Reason) bool {
	m := s.members[incarnation]
	if m == nil || m.Ended {
		return false
	}
	m.Ended, m.EndOffset, m.Reason = true, offset, reason
	return true
}

// Next returns the offset after the last applied entry.
func (s *Set) Next() uint64 { return s.next }

// Get returns the member with the given incarnation, also if it has ended.
func (s *Set) Get(incarnation string) (Member, bool) {
	if m := s.members[incarnation]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Active reports whether the incarnation is registered and has not ended.
func (s *Set) Active(incarnation string) bool {
	m := s.members[incarnation]
	return m != nil && !m.Ended
}

// Ended reports whether the incarnation was registered and has ended.
func (s *Set) Ended(incarnation string) bool {
	m := s.members[incarnation]
	return m != nil && m.Ended
}

// ActiveMembers returns the members that have not ended, sorted by incarnation.
func (s *Set) ActiveMembers() []Member {
	return s.filter(func(m *Member) bool { return !m.Ended })
}

// EndedMembers returns the members that have ended and were not removed, sorted by incarnation.
func (s *Set) EndedMembers() []Member {
	return s.filter(func(m *Member) bool { return m.Ended })
}

func (s *Set) filter(match func(*Member) bool) []Member {
	var out []Member
	for _, m := range s.members {
		if match(m) {
			out = append(out, *m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Incarnation < out[j].Incarnation })
	return out
}

// QuorumsIntersect reports whether every majority that an instance can form, whose view of the log is at offset since
// or any later one, includes an active member. Otherwise members withdrawn as silent could renew each other's leases
// by promises, as a majority of an older member set, while newer members settle their shares. Members that left or
// refused a connection are dead and give no promises.
func (s *Set) QuorumsIntersect(since uint64) bool {
	views := []uint64{since}
	for _, m := range s.members {
		if m.JoinOffset+1 > since {
			views = append(views, m.JoinOffset+1)
		}
		if m.Ended && m.EndOffset+1 > since {
			views = append(views, m.EndOffset+1)
		}
	}
	for _, v := range views {
		total, silent := 0, 0
		for _, m := range s.members {
			if m.JoinOffset >= v || (m.Ended && m.EndOffset < v) {
				continue
			}
			total++
			if m.Ended && m.Reason == Silent {
				silent++
			}
		}
		if 2*silent > total {
			return false
		}
	}
	return true
}

// Remove removes an ended member. It may only be called after its shares are settled and when no late record of the
// incarnation can follow.
func (s *Set) Remove(incarnation string) {
	if s.Ended(incarnation) {
		delete(s.members, incarnation)
	}
}

// Export returns the state at the current offset. It must be called between two appends, not between two records of
// one append.
func (s *Set) Export() Snapshot {
	return Snapshot{Next: s.next, Members: s.filter(func(*Member) bool { return true })}
}

// Import replaces the state if the snapshot is newer, and reports whether it did. All records of the append before
// snap.Next are then covered.
func (s *Set) Import(snap Snapshot) bool {
	if snap.Next <= s.next {
		return false
	}
	s.members = make(map[string]*Member, len(snap.Members))
	for _, m := range snap.Members {
		s.members[m.Incarnation] = &m
	}
	s.next, s.index = snap.Next, 1<<30
	return true
}
