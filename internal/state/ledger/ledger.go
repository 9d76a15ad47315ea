// Package ledger keeps the accounts of shares: which instance holds how many parts of a workspace's
// rate. Parts are millionths; tokens are counted in microtokens, so that sums are exact.
//
// The log holds a base account per incarnation. Parts move between live instances outside the log;
// each instance counts them per peer. An instance holds its base, plus what it received, minus what
// it sent. When members end, one regrant record moves their base and all flows with them into
// the bases of the live members, so that the bases of a workspace always sum to Whole.
package ledger

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// TotalParts is all parts of a workspace.
const TotalParts int64 = 1_000_000

// The kinds of record that this fold reads.
const (
	KindGrant   record.Kind = "grant"
	KindRegrant record.Kind = "regrant"
)

// forgetAfter is how long a settled member is kept, by the log's clock. Its late records have passed by then.
const forgetAfter = time.Hour

// Grant gives the whole of a new workspace to the writer.
type Grant struct {
	Workspace string `json:"workspace"`
}

// NetParts is parts per workspace: sent to minus received from the ended members.
type NetParts map[string]int64

// Regrant settles ended members jointly and gives what they held to the writer.
type Regrant struct {
	// Ended are the members settled.
	Ended []string `json:"ended"`
	// Reports are the frozen counters of every live member, summed over Ended.
	Reports map[string]NetParts `json:"reports"`
}

// Fold is the accounts as the log states them. Entries must first be applied to the member set that it
// was created with. It is not safe for concurrent use.
type Fold struct {
	members *members.Set
	base    map[string]map[string]int64 // workspace, incarnation
	settled map[string]int64            // when, in milliseconds by the log's clock
	next    uint64
	index   int
}

// Snapshot is the exported state.
type Snapshot struct {
	Next    uint64                      `json:"next"`
	Base    map[string]map[string]int64 `json:"base"`
	Settled map[string]int64            `json:"settled,omitempty"`
}

// Effect is what one entry changed.
type Effect struct {
	// Granted is the workspace that the writer was granted, if any.
	Granted string
	// Regranted is parts per workspace given to the writer of an accepted regrant.
	Regranted NetParts
	// Settled are the members that an accepted regrant settled.
	Settled []string
	// Reports are the flows that the regrant moved into the bases.
	Reports map[string]NetParts
}

// NewFold returns empty accounts over the member set.
func NewFold(m *members.Set) *Fold {
	return &Fold{members: m, base: map[string]map[string]int64{}, settled: map[string]int64{}}
}

// Apply folds one entry. The first valid grant of a workspace and the first valid regrant of a member
// win; later ones have no effect.
func (f *Fold) Apply(e record.Entry) Effect {
	if e.Offset+1 < f.next || (e.Offset+1 == f.next && e.Index < f.index) {
		return Effect{}
	}
	f.next, f.index = e.Offset+1, e.Index+1
	switch e.Kind {
	case members.KindJoin:
		f.forget(e.UnixMilli)
	case KindGrant:
		var g Grant
		if e.Unmarshal(&g) != nil || g.Workspace == "" || f.base[g.Workspace] != nil || !f.members.Active(e.Incarnation) {
			return Effect{}
		}
		f.base[g.Workspace] = map[string]int64{e.Incarnation: TotalParts}
		return Effect{Granted: g.Workspace}
	case KindRegrant:
		var r Regrant
		if e.Unmarshal(&r) != nil || !f.members.Active(e.Incarnation) || !f.complete(r) {
			return Effect{}
		}
		return f.regrant(e.Incarnation, e.UnixMilli, r)
	}
	return Effect{}
}

// complete reports whether the regrant settles exactly the members that are due and has a report
// of each live member that can have exchanged parts with them. A regrant that misses a member that
// ended meanwhile is refused: transfers between two ended members only cancel when both are settled.
func (f *Fold) complete(r Regrant) bool {
	due := f.Unsettled()
	if len(due) == 0 || len(due) != len(r.Ended) {
		return false
	}
	want := make(map[string]bool, len(due))
	var lastEnd uint64
	for _, m := range due {
		want[m.Incarnation] = true
		lastEnd = max(lastEnd, m.End)
	}
	for _, i := range r.Ended {
		if !want[i] {
			return false
		}
		delete(want, i)
	}
	for i := range r.Reports {
		if !f.members.Active(i) {
			return false
		}
	}
	for _, m := range f.members.List() {
		if _, ok := r.Reports[m.Incarnation]; !ok && m.Joined < lastEnd {
			return false
		}
	}
	for ws, parts := range f.Regrantable(r) {
		if parts < 0 || parts > TotalParts || f.base[ws] == nil {
			return false
		}
	}
	return true
}

// Regrantable returns what the ended members of r held together, per workspace: their bases plus
// what live members sent them minus what live members received from them.
func (f *Fold) Regrantable(r Regrant) NetParts {
	total := NetParts{}
	for ws, accounts := range f.base {
		for _, i := range r.Ended {
			if accounts[i] != 0 {
				total[ws] += accounts[i]
			}
		}
	}
	for _, net := range r.Reports {
		for ws, parts := range net {
			total[ws] += parts
		}
	}
	return total
}

func (f *Fold) regrant(author string, unixMilli int64, r Regrant) Effect {
	total := f.Regrantable(r)
	for _, i := range r.Ended {
		for _, accounts := range f.base {
			delete(accounts, i)
		}
		f.settled[i] = unixMilli
	}
	for i, net := range r.Reports {
		for ws, parts := range net {
			f.base[ws][i] -= parts
		}
	}
	for ws, parts := range total {
		f.base[ws][author] += parts
	}
	return Effect{Regranted: total, Settled: r.Ended, Reports: r.Reports}
}

// Unsettled returns the ended members whose parts are not regranted yet.
func (f *Fold) Unsettled() []members.Member {
	var out []members.Member
	for _, m := range f.members.EndedList() {
		if _, ok := f.settled[m.Incarnation]; !ok {
			out = append(out, m)
		}
	}
	return out
}

// forget drops the members settled long before the time, so that restarts do not fill the state. Members
// that may still run, cut off, are kept: QuorumHeld needs them. They are dropped once the same process joins again.
func (f *Fold) forget(unixMilli int64) {
	for i, at := range f.settled {
		m, ok := f.members.Get(i)
		if unixMilli-at < forgetAfter.Milliseconds() || (ok && m.Reason == members.Silent) {
			continue
		}
		delete(f.settled, i)
		f.members.Remove(i)
	}
}

// Base returns an incarnation's base account. It is negative when the member sent more to members
// settled since than it was granted.
func (f *Fold) Base(workspace, incarnation string) int64 { return f.base[workspace][incarnation] }

// Granted reports whether the workspace has been granted.
func (f *Fold) Granted(workspace string) bool { return f.base[workspace] != nil }

// Export returns the state at the current offset.
func (f *Fold) Export() Snapshot {
	s := Snapshot{Next: f.next, Base: map[string]map[string]int64{}, Settled: map[string]int64{}}
	for ws, accounts := range f.base {
		c := make(map[string]int64, len(accounts))
		for i, parts := range accounts {
			if parts != 0 {
				c[i] = parts
			}
		}
		s.Base[ws] = c
	}
	for i, at := range f.settled {
		s.Settled[i] = at
	}
	return s
}

// Import replaces the state if the snapshot is newer and reports whether it did. The member set must
// be imported at the same offset.
func (f *Fold) Import(s Snapshot) bool {
	if s.Next <= f.next {
		return false
	}
	f.base, f.settled = map[string]map[string]int64{}, map[string]int64{}
	for ws, accounts := range s.Base {
		f.base[ws] = make(map[string]int64, len(accounts))
		for i, parts := range accounts {
			f.base[ws][i] = parts
		}
	}
	for i, at := range s.Settled {
		f.settled[i] = at
	}
	f.next, f.index = s.Next, 1<<30
	return true
}
