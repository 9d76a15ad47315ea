package workerload

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	testSlots = 2
	second    = time.Second
)

var testSize = Request{Prompt: 1000, Output: 100}

// TestChoose checks each step, in particular that requests without a place do not all go to a server of which nothing is
// known, and that a request which no server can begin before its deadline is refused at once.
func TestChoose(t *testing.T) {
	admitted, unknown := Answer{Known: true, Admitted: true}, Answer{}
	declined := func(wait time.Duration) Answer { return Answer{Known: true, Wait: wait} }
	for name, c := range map[string]struct {
		answers []Answer
		servers int
		canLoad bool
		want    Choice
	}{
		"asks the first":                     {nil, 2, true, Choice{Step: Ask}},
		"sends to the one that admits":       {[]Answer{declined(second), admitted}, 3, true, Choice{Step: Send, Index: 1}},
		"asks the next":                      {[]Answer{declined(second)}, 2, true, Choice{Step: Ask, Index: 1}},
		"sends if nothing is known":          {[]Answer{unknown}, 2, true, Choice{Step: Send}},
		"asks on after a declining one":      {[]Answer{declined(second), unknown}, 3, true, Choice{Step: Ask, Index: 2}},
		"asks few of many":                   {[]Answer{declined(second), declined(second), declined(second), declined(second)}, 99, true, Choice{Step: LoadElsewhere}},
		"prefers a load to an unknown one":   {[]Answer{declined(second), unknown}, 2, true, Choice{Step: LoadElsewhere}},
		"sends late where it waits least":    {[]Answer{declined(3 * second), declined(2 * second)}, 2, false, Choice{Step: SendLate, Index: 1}},
		"sends late where something's known": {[]Answer{declined(2 * second), unknown}, 2, false, Choice{Step: SendLate}},
		"refuses what has no time left":      {[]Answer{declined(9 * second), declined(5 * second)}, 2, false, Choice{Step: Refuse, RetryAfter: 5 * second}},
	} {
		Convey(name, t, func() {
			So(Choose(c.answers, c.servers, c.canLoad, 5*second), ShouldResemble, c.want)
		})
	}
}

// TestFurtherSlack guards against a popular adapter that stays at overloaded servers, since a load elsewhere would be late as
// well although it begins the request much sooner, and against loads that begin it no sooner.
func TestFurtherSlack(t *testing.T) {
	const reserve = second / 10
	declined := func(wait time.Duration) Answer { return Answer{Known: true, Wait: wait} }
	for name, c := range map[string]struct {
		answers     []Answer
		slack, want time.Duration
	}{
		"as long as the request is on time":          {[]Answer{declined(second / 4)}, second / 2, second / 2},
		"as long as it begins sooner than elsewhere": {[]Answer{declined(3 * second), declined(2 * second)}, second / 5, 2*second - reserve},
		"unknown servers do not count":               {[]Answer{{}, declined(2 * second)}, 0, 2*second - reserve},
		"nothing is known":                           {[]Answer{{}}, second / 5, second / 5},
		"not beyond the deadline":                    {[]Answer{declined(10 * second)}, 0, 5*second - reserve},
	} {
		Convey(name, t, func() { So(FurtherSlack(c.answers, c.slack, reserve, 5*second), ShouldEqual, c.want) })
	}
}

// fill gives places to a number of requests at the same time.
func fill(l *Load, n int, now time.Duration) []uint64 {
	var places []uint64
	for range n {
		places = append(places, l.Add(testSize, now, time.Hour, now))
	}
	return places
}

// TestPlaces checks when a server is expected to take a further request.
func TestPlaces(t *testing.T) {
	const wait = 500 * time.Millisecond
	Convey("a full batch admits nothing until a request ends", t, func() {
		l := New(testSlots, 0)
		places := fill(l, testSlots, 0)
		place, expected := l.Admit(testSize, 0, wait, time.Hour, 0)
		So(place, ShouldEqual, 0)
		So(expected, ShouldBeGreaterThan, wait)
		l.End(places[0], true, 100*time.Millisecond)
		l.Begin(places[1], 0, 100*time.Millisecond)
		place, _ = l.Admit(testSize, 0, wait, time.Hour, 100*time.Millisecond)
		So(place, ShouldNotEqual, 0)
	})
	Convey("memory is limited as well, but a request that exceeds it alone is not kept out", t, func() {
		l := New(0, 1500)
		So(fill(l, 1, 0), ShouldHaveLength, 1)
		place, _ := l.Admit(testSize, 0, wait, time.Hour, 0)
		So(place, ShouldEqual, 0)
		place, _ = New(0, 500).Admit(testSize, 0, wait, time.Hour, 0)
		So(place, ShouldNotEqual, 0)
	})
	Convey("a place that is never returned ends with the request's deadline", t, func() {
		l := New(testSlots, 0)
		l.Add(testSize, 0, second, 0)
		So(l.Running(second-1), ShouldEqual, 1)
		So(l.Running(second), ShouldEqual, 0)
	})
	Convey("a request that waits for its adapter has a place and delays no prompt", t, func() {
		l := New(testSlots, 0)
		l.Add(testSize, 10*second, time.Hour, 0)
		So(l.Running(0), ShouldEqual, 1)
		So(l.Wait(testSize, 0, 0), ShouldBeLessThan, wait)
	})
	Convey("an unknown place is ignored", t, func() {
		l := New(testSlots, 0)
		l.Begin(7, 0, 0)
		l.End(7, true, 0)
		So(l.Running(0), ShouldEqual, 0)
	})
}

// TestLearnedTimes checks that the expected time to the first event is close to the real one after some requests, that a slow
// server is found before its requests end, and that one outlier does not close a server.
func TestLearnedTimes(t *testing.T) {
	const prompt, output = 200 * time.Microsecond, 3 * time.Millisecond
	first, total := time.Duration(testSize.Prompt)*prompt, time.Duration(testSize.Prompt)*prompt+time.Duration(testSize.Output)*output
	run := func(l *Load, n int) {
		for i := range n {
			now := time.Duration(i) * 10 * second
			place := l.Add(testSize, now, second, now)
			l.Begin(place, 0, now+first)
			l.End(place, true, now+total)
		}
	}
	Convey("the error after ten requests is under a tenth", t, func() {
		l := New(testSlots, 0)
		run(l, 10)
		So(float64(l.Wait(testSize, 0, time.Hour)), ShouldAlmostEqual, float64(first), 0.1*float64(first))
		fill(l, testSlots, time.Hour)
		So(float64(l.Wait(testSize, 0, time.Hour)), ShouldAlmostEqual, float64(first+total), 0.2*float64(total))
	})
	Convey("a request that runs on and on shows a slow server", t, func() {
		l := New(1, 0)
		run(l, 10)
		fill(l, 1, time.Hour)
		before := l.Wait(testSize, 0, time.Hour)
		So(l.Wait(testSize, 0, time.Hour+3*total), ShouldBeGreaterThan, before)
	})
	Convey("a late first event shows a slow server", t, func() {
		l := New(testSlots, 0)
		run(l, 10)
		before := l.Wait(testSize, 0, time.Hour)
		l.Begin(fill(l, 1, time.Hour)[0], 0, time.Hour+5*first)
		So(l.Wait(testSize, 0, 2*time.Hour), ShouldBeGreaterThan, before*5/4)
	})
	Convey("a server that is fast again is found at once", t, func() {
		l := New(testSlots, 0)
		places := fill(l, 2, 0)
		// Both were read sooner than expected: nothing delays a further prompt.
		l.Begin(places[0], 0, time.Millisecond)
		l.Begin(places[1], 0, 2*time.Millisecond)
		l.End(places[0], true, 2*time.Millisecond)
		So(l.Wait(Request{}, 0, 2*time.Millisecond), ShouldEqual, l.baseTime.Duration)
	})
	Convey("a request that is sent late, since its worker limits requests, does not count as a slow server", t, func() {
		l := New(testSlots, 0)
		run(l, 10)
		before := l.Wait(testSize, 0, time.Hour)
		l.Begin(fill(l, 1, time.Hour)[0], 10*first, time.Hour+11*first)
		So(float64(l.Wait(testSize, 0, 2*time.Hour)), ShouldAlmostEqual, float64(before), 0.1*float64(before))
	})
	Convey("an outlier changes little", t, func() {
		l := New(testSlots, 0)
		run(l, 10)
		before := l.Wait(testSize, 0, time.Hour)
		l.Begin(fill(l, 1, time.Hour)[0], 0, 2*time.Hour)
		So(l.Wait(testSize, 0, 3*time.Hour), ShouldBeLessThan, 2*before)
	})
}

// BenchmarkAdmit measures one decision at a server whose batch is full.
func BenchmarkAdmit(b *testing.B) {
	l := New(128, 0)
	fill(l, 160, 0)
	for b.Loop() {
		l.Admit(testSize, 0, second, second, 0)
	}
}

// TestQueueOfShortPrompts guards against an expected wait that counts for each prompt ahead what a first event takes besides the
// reading, so that a server that would begin in time takes no request and its adapters are loaded elsewhere.
func TestQueueOfShortPrompts(t *testing.T) {
	const read, besides = 20 * time.Millisecond, 40 * time.Millisecond
	serve := func(l *Load, requests int, now time.Duration) {
		places := make([]uint64, requests)
		for i := range places {
			places[i] = l.Add(testSize, now, time.Minute, now)
		}
		for i, place := range places {
			l.Begin(place, 0, now+time.Duration(i+1)*read+besides)
		}
		for _, place := range places {
			l.End(place, true, now+time.Second)
		}
	}
	Convey("the expected wait behind eight prompts is off by less than a fifth, after requests that mostly came alone", t, func() {
		l := New(32, 0)
		for i := range 40 {
			serve(l, 1+i%4/3*3, time.Duration(i)*10*time.Second)
		}
		fill(l, 8, time.Hour)
		want := float64(9*read + besides)
		So(float64(l.Wait(testSize, 0, time.Hour)), ShouldAlmostEqual, want, 0.2*want)
	})
}

// TestPlacesOfLoadingAdapters guards against a request that is declined although a slot is free, because requests that wait for their
// adapters have places.
func TestPlacesOfLoadingAdapters(t *testing.T) {
	const load = 300 * time.Millisecond
	Convey("a request is sent before those that wait for a load, and waits behind them after it", t, func() {
		l := New(testSlots, 0)
		for range testSlots {
			l.Add(testSize, load, time.Minute, 0)
		}
		idle := New(testSlots, 0).Wait(testSize, 0, 0)
		So(l.Wait(testSize, 0, 0), ShouldEqual, idle)
		So(l.Wait(testSize, load, 0), ShouldBeGreaterThan, load+idle)
	})
}
