// Package members folds the control stream's join, leave and withdraw records into the registered
// members. An incarnation registers at most once and never returns after its end.
package members

import (
	"sort"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// The kinds of record that this fold reads.
const (
	KindJoin     record.Kind = "join"
	KindLeave    record.Kind = "leave"
	KindWithdraw record.Kind = "withdraw"
)

// Reason says why a member was withdrawn.
type Reason string

// The reasons of a withdrawal.
const (
	// Refused means that a connection to the member was refused: its process is dead.
	Refused Reason = "refused"
	// Silent means that a majority reported silence: the process may still run, cut off.
	Silent Reason = "silent"
	// Left means that the member stopped by itself. Only the fold sets it.
	Left Reason = "left"
)

// Join registers the incarnation that wrote it.
type Join struct {
	// Instance is the platform's id of the instance.
	Instance string `json:"instance"`
	// PeerAddr is where the other instances reach it.
	PeerAddr string `json:"peer_addr"`
	// DataCentre is where it runs.
	DataCentre string `json:"data_centre"`
	// Previous is the incarnation that the same process had before, if any. The process has stopped
	// acting under it, so it is dead however it ended.
	Previous string `json:"previous,omitempty"`
}

// Leave ends the membership of the incarnation that wrote it. The writer stops giving promises and
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
	// Joined is the offset of the join record.
	Joined uint64 `json:"joined"`
	// Ended says that the membership is over, at the offset End, for the reason given.
	Ended  bool   `json:"ended,omitempty"`
	End    uint64 `json:"end,omitempty"`
	Reason Reason `json:"reason,omitempty"`
}

// Set is the fold's state. Ended members stay until Forget, because shares are settled after the end.
// It is not safe for concurrent use.
type Set struct {
	members map[string]*Member
	next    uint64
	index   int
}

// Snapshot is the exported state.
type Snapshot struct {
	// Next is the offset after the last record covered.
	Next    uint64   `json:"next"`
	Members []Member `json:"members"`
}

// New returns an empty fold.
func New() *Set { return &Set{members: map[string]*Member{}} }

// Apply folds one entry and reports whether it changed the members. Entries must come in log order;
// entries before the state's position are ignored, so that a re-read or a peer's copy is harmless.
// A second copy of a record has no effect, since a join or an end takes effect once per incarnation.
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
		s.members[e.Incarnation] = &Member{Incarnation: e.Incarnation, Join: j, Joined: e.Offset}
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

func (s *Set) end(incarnation string, offset uint64, why Reason) bool {
	m := s.members[incarnation]
	if m == nil || m.Ended {
		return false
	}
	m.Ended, m.End, m.Reason = true, offset, why
	return true
}

// Next returns the offset after the last entry folded.
func (s *Set) Next() uint64 { return s.next }

// Get returns the member with the incarnation.
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

// List returns the members that have not ended, by incarnation.
func (s *Set) List() []Member {
	return s.filter(func(m *Member) bool { return !m.Ended })
}

// EndedList returns the members that have ended and were not forgotten, by incarnation.
func (s *Set) EndedList() []Member {
	return s.filter(func(m *Member) bool { return m.Ended })
}

func (s *Set) filter(keep func(*Member) bool) []Member {
	var out []Member
	for _, m := range s.members {
		if keep(m) {
			out = append(out, *m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Incarnation < out[j].Incarnation })
	return out
}

// QuorumsIntersect reports whether the active members share a member with every majority that an instance
// whose view of the log is at offset since, or at any later one, can form. Without it, members withdrawn
// for silence could renew each other's leases by promises, as a majority of an older member set, while
// newer members settle their shares. Members that left or were refused are dead and promise nothing.
func (s *Set) QuorumsIntersect(since uint64) bool {
	views := []uint64{since}
	for _, m := range s.members {
		if m.Joined+1 > since {
			views = append(views, m.Joined+1)
		}
		if m.Ended && m.End+1 > since {
			views = append(views, m.End+1)
		}
	}
	for _, v := range views {
		total, cut := 0, 0
		for _, m := range s.members {
			if m.Joined >= v || (m.Ended && m.End < v) {
				continue
			}
			total++
			if m.Ended && m.Reason == Silent {
				cut++
			}
		}
		if 2*cut > total {
			return false
		}
	}
	return true
}

// Remove drops an ended member. Late records of the incarnation must not follow: the log's retention
// and the settlement of its shares have both passed.
func (s *Set) Remove(incarnation string) {
	if s.Ended(incarnation) {
		delete(s.members, incarnation)
	}
}

// Export returns the state at the current offset. It must be taken between two appends, not between
// two records of one append.
func (s *Set) Export() Snapshot {
	return Snapshot{Next: s.next, Members: s.filter(func(*Member) bool { return true })}
}

// Import replaces the state if the snapshot is newer and reports whether it did.
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
