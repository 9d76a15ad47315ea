package evacuation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func begin(offset int64) Record { return Record{DataCentre: "z1", Offset: offset, Kind: Evacuation} }

func withdraw(offset int64) Record { return Record{DataCentre: "z1", Offset: offset, Kind: Withdrawal} }

// step applies one reading, or what another instance knows.
type step func(s *State, now time.Duration) []Change

func snapshot(era, next int64, records ...Record) step {
	return func(s *State, now time.Duration) []Change { return s.Apply(records, Reading{era, next, true}, now) }
}

func read(era, next int64, records ...Record) step {
	return func(s *State, now time.Duration) []Change { return s.Apply(records, Reading{era, next, false}, now) }
}

func merge(era, offset int64, evacuated bool) step {
	return func(s *State, now time.Duration) []Change {
		return s.Merge([]Entry{{DataCentre: "z1", Era: era, Offset: offset, Evacuated: evacuated}}, now)
	}
}

// TestOrder guards against an evacuation that a later record, snapshot or era ends although it is in force, or that stays in
// force although it was withdrawn.
func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		steps     []step
		evacuated bool
	}{
		"the latest record decides":                            {[]step{snapshot(0, 5), read(0, 8, begin(5), withdraw(6), begin(7))}, true},
		"twice in quick succession, then withdrawn":            {[]step{snapshot(0, 5), read(0, 9, begin(5), withdraw(6), begin(7), withdraw(8))}, false},
		"an older record does not end it":                      {[]step{snapshot(0, 5), read(0, 8, begin(7)), read(0, 8, withdraw(6))}, true},
		"an older record does not begin it":                    {[]step{snapshot(0, 5), read(0, 8, withdraw(7)), read(0, 8, begin(6))}, false},
		"compaction lost the withdrawal":                       {[]step{snapshot(0, 6, begin(5)), snapshot(0, 20)}, false},
		"a snapshot at the record's own offset lacks it":       {[]step{snapshot(0, 6, begin(5)), snapshot(0, 6)}, false},
		"a snapshot from before the record":                    {[]step{snapshot(0, 5), read(0, 6, begin(5)), snapshot(0, 5)}, true},
		"a snapshot has it":                                    {[]step{snapshot(0, 6, begin(5)), snapshot(0, 20, begin(5))}, true},
		"a snapshot has an unreadable record":                  {[]step{snapshot(0, 6, begin(5)), snapshot(0, 20, Record{DataCentre: "z1", Offset: 9, Kind: Unreadable})}, true},
		"an unreadable record begins none":                     {[]step{snapshot(0, 6, Record{DataCentre: "z1", Offset: 5, Kind: Unreadable})}, false},
		"a restore lost it":                                    {[]step{snapshot(0, 6, begin(5)), snapshot(1, 4), snapshot(1, 20)}, true},
		"a restore lost it, then it is withdrawn":              {[]step{snapshot(0, 60, begin(55)), snapshot(1, 4), read(1, 5, withdraw(4))}, false},
		"a restore has it again":                               {[]step{snapshot(0, 6, begin(3)), read(0, 7, withdraw(6)), snapshot(1, 4, begin(3))}, true},
		"a restore has it, then a snapshot lacks it":           {[]step{snapshot(0, 6, begin(3)), snapshot(1, 4, begin(3)), snapshot(1, 9)}, false},
		"records of an earlier era":                            {[]step{snapshot(1, 6), read(0, 50, begin(49))}, false},
		"a peer knows what a restore lost":                     {[]step{snapshot(1, 4), merge(0, 55, true)}, true},
		"a peer does not know of the withdrawal":               {[]step{snapshot(1, 4), read(1, 5, withdraw(4)), merge(0, 55, true)}, false},
		"a peer has not read what a snapshot covers":           {[]step{snapshot(1, 9), merge(1, 7, true)}, false},
		"a peer has read further":                              {[]step{snapshot(1, 9), merge(1, 9, true)}, true},
		"a peer has read a later era":                          {[]step{snapshot(1, 9), merge(2, 3, true)}, true},
		"a peer knows a withdrawal that compaction lost":       {[]step{snapshot(0, 60, begin(55)), snapshot(1, 9), merge(1, 5, false)}, false},
		"a peer knows what an unreadable record hides":         {[]step{snapshot(1, 9, Record{DataCentre: "z1", Offset: 8, Kind: Unreadable}), merge(1, 7, true)}, true},
		"a peer knows the withdrawal of an earlier evacuation": {[]step{snapshot(0, 9, begin(8)), merge(0, 5, false)}, true},
	} {
		Convey(name, t, func() {
			s := New()
			for i, step := range c.steps {
				step(s, time.Duration(i)*time.Second)
			}
			So(s.Evacuated("z1"), ShouldEqual, c.evacuated)
			So(s.Empty(), ShouldEqual, !c.evacuated)
			So(s.Evacuated("z2"), ShouldBeFalse)
		})
	}
}

// TestChanges guards against changes that operators do not see, or see twice, and against a begin or end at a wrong time.
func TestChanges(t *testing.T) {
	Convey("a restated evacuation keeps its begin and counts, and each change is reported once", t, func() {
		s := New()
		So(snapshot(0, 5)(s, time.Second), ShouldBeEmpty)
		began := read(0, 6, begin(5))(s, 2*time.Second)
		So(began, ShouldResemble, []Change{{Entry: Entry{DataCentre: "z1", Offset: 5, Evacuated: true, Since: 2 * time.Second}}})
		So(snapshot(0, 6, begin(5))(s, 3*time.Second), ShouldBeEmpty)
		s.CountMoved("z1")
		s.CountRefused("z1")
		So(s.CarriedOver(), ShouldBeFalse)
		So(snapshot(1, 4)(s, 4*time.Second), ShouldBeEmpty)
		So(s.CarriedOver(), ShouldBeTrue)
		restated := read(1, 5, begin(4))(s, 5*time.Second)
		So(restated, ShouldHaveLength, 1)
		So(restated[0].Entry, ShouldResemble, Entry{DataCentre: "z1", Era: 1, Offset: 4, Evacuated: true, Since: 2 * time.Second, Moved: 1, Refused: 1})
		_, ok := s.WithdrawnSince("z1")
		So(ok, ShouldBeFalse)
		So(read(1, 6, withdraw(5))(s, 7*time.Second)[0].Moved, ShouldEqual, 1)
		since, ok := s.WithdrawnSince("z1")
		So(ok, ShouldBeTrue)
		So(since, ShouldEqual, 7*time.Second)
		So(read(1, 7, withdraw(6))(s, 9*time.Second), ShouldBeEmpty)
		So(s.Entries()[0].Since, ShouldEqual, 7*time.Second)
		So(read(1, 8, begin(7))(s, 10*time.Second)[0].Moved, ShouldEqual, 0)
	})
}
