// Package evacuation holds which data centres operators have evacuated: their workers get nothing more until the evacuation is
// withdrawn. No type here reads a clock or is safe for concurrent use.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Kind is what a record says of its data centre.
type Kind int

// The kinds of records.
const (
	// Withdrawal ends the evacuation of the data centre.
	Withdrawal Kind = iota + 1
	// Evacuation begins it.
	Evacuation
	// Unreadable means that the record cannot be decoded: it neither begins nor ends an evacuation.
	Unreadable
)

// Record is an operator's record on one data centre.
type Record struct {
	DataCentre string
	Offset     int64
	Kind       Kind
}

// Reading says how records were read.
type Reading struct {
	// Era is the era of the log service, and Next the offset after the records that were read.
	Era, Next int64
	// Snapshot is true if the records are the newest ones of all data centres, which leaves out those that were withdrawn.
	Snapshot bool
}

// Entry is the latest that is known of a data centre.
type Entry struct {
	DataCentre string
	// Era and Offset are the position of the record that decides. If a snapshot lacked the record, they are the last position
	// that the snapshot covers.
	Era, Offset int64
	Evacuated   bool
	// Since is when the evacuation began or was withdrawn, as far as this instance knows.
	Since time.Duration
	// Moved counts the requests that were placed at a worker of the data centre and went elsewhere because of the evacuation,
	// and Refused those for which no other worker was left. They are of this instance.
	Moved, Refused int
}

// compare orders entries of one data centre by position. At one position a withdrawal comes last: it stands for a snapshot that
// covers the position and lacks the record.
func (e *Entry) compare(o *Entry) int {
	return cmp.Or(cmp.Compare(e.Era, o.Era), cmp.Compare(e.Offset, o.Offset), boolCompare(o.Evacuated, e.Evacuated))
}

func boolCompare(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// Change is a change of the entry of a data centre.
type Change struct {
	Entry
	// Before is the entry that it replaces, empty if there was none.
	Before Entry
}

// unknownEra is the era before the first reading.
const unknownEra = -1

// State is what an instance knows of all data centres. Entries of withdrawn evacuations are kept, so that neither an older record
// nor an instance that knows less puts them into force again.
type State struct {
	entries map[string]*Entry
	// inForce is the number of evacuated data centres.
	inForce int
	// era and next are the position up to which the log was read, and unreadable the data centres for which a snapshot had only
	// a record that cannot be decoded.
	era, next  int64
	unreadable map[string]bool
}

// New returns a state without evacuations.
func New() *State {
	return &State{entries: map[string]*Entry{}, era: unknownEra, unreadable: map[string]bool{}}
}

// Empty reports whether no data centre is evacuated.
func (s *State) Empty() bool { return s.inForce == 0 }

// Evacuated reports whether a data centre is evacuated.
func (s *State) Evacuated(dataCentre string) bool {
	e := s.entries[dataCentre]
	return e != nil && e.Evacuated
}

// WithdrawnSince returns since when the evacuation of a data centre has been withdrawn, as far as this instance knows. ok is false
// if it is evacuated or no evacuation of it is known.
func (s *State) WithdrawnSince(dataCentre string) (since time.Duration, ok bool) {
	e := s.entries[dataCentre]
	if e == nil || e.Evacuated {
		return 0, false
	}
	return e.Since, true
}

// Entries returns all entries, by name of the data centre.
func (s *State) Entries() []Entry {
	out := make([]Entry, 0, len(s.entries))
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		out = append(out, *s.entries[name])
	}
	return out
}

// CarriedOver reports whether an evacuation of an earlier era of the log service is in force, which the log service has lost in a
// restore: only a record of a later era ends it.
func (s *State) CarriedOver() bool {
	for _, e := range s.entries {
		if e.Evacuated && e.Era < s.era {
			return true
		}
	}
	return false
}

// askInterval is the time between two questions to other instances while an evacuation is carried over. It is short compared with
// the time for which operators would wait for a withdrawal that has no effect, and costs three calls.
const askInterval = 10 * time.Second

// AskAgain returns after which time other instances are to be asked again for what they know, 0 if there is no need: while an
// evacuation is carried over, the record that withdraws it may be one that only others have read, and those that were asked before
// may not have been reached, or not have read it yet.
func (s *State) AskAgain() time.Duration {
	if s.CarriedOver() {
		return askInterval
	}
	return 0
}

// Apply applies records that were read from the log service and returns the changes. Readings of an earlier era than a previous
// one have no effect.
func (s *State) Apply(records []Record, r Reading, now time.Duration) []Change {
	if r.Era < s.era {
		return nil
	}
	var changes []Change
	if r.Snapshot {
		changes = s.endLacking(records, r, now)
		clear(s.unreadable)
	}
	for _, record := range records {
		switch {
		case record.DataCentre == "":
		case record.Kind == Unreadable:
			if r.Snapshot {
				s.unreadable[record.DataCentre] = true
			}
		default:
			delete(s.unreadable, record.DataCentre)
			changes = s.put(changes, Entry{DataCentre: record.DataCentre, Era: r.Era, Offset: record.Offset, Evacuated: record.Kind == Evacuation, Since: now})
		}
	}
	if r.Era > s.era || r.Next > s.next || r.Snapshot {
		s.era, s.next = r.Era, r.Next
	}
	return changes
}

// endLacking ends the evacuations whose records a snapshot covers but lacks. A snapshot of a later era does not end an evacuation:
// it may lack the record because the log service was restored from an older copy.
func (s *State) endLacking(records []Record, r Reading, now time.Duration) (changes []Change) {
	present := map[string]bool{}
	for _, record := range records {
		present[record.DataCentre] = true
	}
	for _, e := range s.Entries() {
		if e.Evacuated && e.Era == r.Era && !present[e.DataCentre] {
			changes = s.put(changes, Entry{DataCentre: e.DataCentre, Era: r.Era, Offset: r.Next - 1, Since: now})
		}
	}
	return changes
}

// Merge applies the entries of another instance and returns the changes. What this instance has read itself takes precedence: an
// evacuation at a position up to which it has read, and which it does not know, was withdrawn since.
func (s *State) Merge(entries []Entry, now time.Duration) []Change {
	var changes []Change
	for _, e := range entries {
		if e.DataCentre == "" || e.Evacuated && e.Era == s.era && e.Offset < s.next && !s.unreadable[e.DataCentre] {
			continue
		}
		e.Since = min(e.Since, now)
		e.Moved, e.Refused = 0, 0
		changes = s.put(changes, e)
	}
	return changes
}

// put replaces the entry of a data centre by a later one, and adds the change if it is one for the requests or for operators: a
// data centre that was not evacuated and is not now has none.
func (s *State) put(changes []Change, e Entry) []Change {
	var before Entry
	if old := s.entries[e.DataCentre]; old != nil {
		if e.compare(old) <= 0 {
			return changes
		}
		before = *old
	}
	if before.Evacuated == e.Evacuated && before.DataCentre != "" {
		e.Since = min(e.Since, before.Since)
	}
	if before.Evacuated {
		// The counts of an evacuation stay known until the next one.
		e.Moved, e.Refused = before.Moved, before.Refused
	}
	if before.Evacuated {
		s.inForce--
	}
	if e.Evacuated {
		s.inForce++
	}
	s.entries[e.DataCentre] = &e
	if !before.Evacuated && !e.Evacuated {
		return changes
	}
	return append(changes, Change{Entry: e, Before: before})
}

// CountMoved counts a request that was placed at a worker of an evacuated data centre and goes elsewhere.
func (s *State) CountMoved(dataCentre string) {
	if e := s.entries[dataCentre]; e != nil {
		e.Moved++
	}
}

// CountRefused counts a request that was refused since the workers that are left for it are in an evacuated data centre.
func (s *State) CountRefused(dataCentre string) {
	if e := s.entries[dataCentre]; e != nil {
		e.Refused++
	}
}
