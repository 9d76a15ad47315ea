// Package ledger accounts for the shares of instances in the rate of a workspace. A share is a number of parts, which
// are millionths of the rate. Tokens are counted in microtokens, so that sums are exact.
//
// The log determines a base account per incarnation. Transfers of parts between live instances are not logged; each
// instance counts them per peer. An instance holds its base account, plus the parts that it received, minus those that
// it sent. When members end, one regrant record moves their base accounts and all their transfers into the base
// accounts of the live members, so that the base accounts of a workspace always sum to TotalParts.
package ledger

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/members"
	"github.com/turmericworks/turmericworks/internal/state/record"
)

// TotalParts is the number of parts of each workspace.
const TotalParts int64 = 1_000_000

// The kinds of records that the fold applies.
const (
	KindGrant   record.Kind = "grant"
	KindRegrant record.Kind = "regrant"
)

// settledRetention is how long a settled member is kept, by the log's clock. Its late records were read by then.
const settledRetention = time.Hour

// Grant gives all parts of a new workspace to the author of the record.
type Grant struct {
	Workspace string `json:"workspace"`
}

// NetParts is a number of parts per workspace. In a report it is what a live member sent to the ended members minus
// what it received from them.
type NetParts map[string]int64

// Regrant settles ended members together and gives the parts that they held to the author of the record.
type Regrant struct {
	// Ended holds the incarnations that are settled.
	Ended []string `json:"ended"`
	// Reports holds the frozen counters of each live member, summed over Ended.
	Reports map[string]NetParts `json:"reports"`
}

// Fold is the state of the base accounts. Entries must first be applied to the member set that the fold was created
// with. It is not safe for concurrent use.
type Fold struct {
	members *members.Set
	base    map[string]map[string]int64 // parts by workspace and incarnation
	settled map[string]int64            // time of settlement by incarnation, in milliseconds of the log's clock
	next    uint64
	index   int
}

// Snapshot is the exported state.
type Snapshot struct {
	Next    uint64                      `json:"next"`
	Base    map[string]map[string]int64 `json:"base"`
	Settled map[string]int64            `json:"settled,omitempty"`
}

// Effect describes the changes by one entry.
type Effect struct {
	// Granted is the workspace that an accepted grant gave to its author, or empty.
	Granted string
	// Regranted holds the parts per workspace that an accepted regrant gave to its author.
	Regranted NetParts
	// Settled holds the incarnations that an accepted regrant settled.
	Settled []string
	// Reports holds the net parts that an accepted regrant moved into the base accounts of the live members.
	Reports map[string]NetParts
}

// NewFold returns a fold without accounts over the member set.
func NewFold(m *members.Set) *Fold {
	return &Fold{members: m, base: map[string]map[string]int64{}, settled: map[string]int64{}}
}

// Apply applies one entry. Only the first valid grant of a workspace and the first valid regrant of a member have an
// effect. Entries before the position of the fold are ignored.
func (f *Fold) Apply(e record.Entry) Effect {
	if e.Offset+1 < f.next || (e.Offset+1 == f.next && e.Index < f.index) {
		return Effect{}
	}
	f.next, f.index = e.Offset+1, e.Index+1
	switch e.Kind {
	case members.KindJoin:
		f.dropSettled(e.UnixMilli)
	case KindGrant:
		var g Grant
		if e.Unmarshal(&g) != nil || g.Workspace == "" || f.base[g.Workspace] != nil || !f.members.Active(e.Incarnation) {
			return Effect{}
		}
		f.base[g.Workspace] = map[string]int64{e.Incarnation: TotalParts}
		return Effect{Granted: g.Workspace}
	case KindRegrant:
		var r Regrant
		if e.Unmarshal(&r) != nil || !f.members.Active(e.Incarnation) || !f.valid(r) {
			return Effect{}
		}
		return f.regrant(e.Incarnation, e.UnixMilli, r)
	}
	return Effect{}
}

// valid reports whether the regrant settles exactly the unsettled members and has a report of each live member that can
// have exchanged parts with them. A regrant that lacks a member that ended meanwhile is rejected, since transfers
// between two ended members only cancel out when both are settled.
func (f *Fold) valid(r Regrant) bool {
	unsettled := f.Unsettled()
	if len(unsettled) == 0 || len(unsettled) != len(r.Ended) {
		return false
	}
	want := make(map[string]bool, len(unsettled))
	var lastEnd uint64
	for _, m := range unsettled {
		want[m.Incarnation] = true
		lastEnd = max(lastEnd, m.EndOffset)
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
	for _, m := range f.members.ActiveMembers() {
		if _, ok := r.Reports[m.Incarnation]; !ok && m.JoinOffset < lastEnd {
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

// Regrantable returns the parts per workspace that the ended members of r held together: their base accounts, plus what
// live members sent to them, minus what live members received from them.
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

// Unsettled returns the ended members whose parts have not been regranted.
func (f *Fold) Unsettled() []members.Member {
	var out []members.Member
	for _, m := range f.members.EndedMembers() {
		if _, ok := f.settled[m.Incarnation]; !ok {
			out = append(out, m)
		}
	}
	return out
}

// dropSettled removes the members that were settled at least settledRetention before unixMilli, so that the state does
// not grow with each restart. Members withdrawn as silent may still run behind a partition and are kept, since
// members.Set.QuorumsIntersect needs them, until the same process joins again.
func (f *Fold) dropSettled(unixMilli int64) {
	for i, at := range f.settled {
		m, ok := f.members.Get(i)
		if unixMilli-at < settledRetention.Milliseconds() || (ok && m.Reason == members.Silent) {
			continue
		}
		delete(f.settled, i)
		f.members.Remove(i)
	}
}

// Base returns the base account of an incarnation. It is negative if the incarnation sent more parts to members that
// are now settled than it was granted.
func (f *Fold) Base(workspace, incarnation string) int64 { return f.base[workspace][incarnation] }

// Granted reports whether the workspace has been granted.
func (f *Fold) Granted(workspace string) bool { return f.base[workspace] != nil }

// Export returns the state at the current position.
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

// Import replaces the state if the snapshot is newer, and reports whether it did. The member set must be imported at
// the same offset.
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
