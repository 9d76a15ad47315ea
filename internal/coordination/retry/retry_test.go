package retry

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/record"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests; -rapid.seed on the command line replaces it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_700_000_000, 0)

// Guards against retry storms (more than 1.1 attempts per request, from the first request on), repeated
// runs of calls that may not be repeated, retries after a sent byte and untrue not-run verdicts.
func TestCallProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		saved := rapid.IntRange(0, 20).Draw(t, "attempts saved")
		budget := Budget{saved: int64(saved) * costPerAttempt}
		attempts := 0
		n := rapid.IntRange(1, 300).Draw(t, "requests")
		failing := rapid.Bool().Draw(t, "every attempt fails")
		for i := range n {
			idempotent := failing || rapid.Bool().Draw(t, "idempotent")
			c := NewCall(fmt.Sprint(i), idempotent, start.Add(time.Minute), &budget)
			attempts++
			inFlight, sent, mayHaveRun := 1, false, false
			for inFlight > 0 {
				if !failing && rapid.Bool().Draw(t, "send") {
					c.Sent(1)
					sent = true
				}
				if c.Hedge(time.Second, time.Second, start) {
					if !idempotent || sent || mayHaveRun {
						t.Fatalf("request %d was hedged", i)
					}
					inFlight++
					attempts++
				}
				v := rapid.SampledFrom([]verdict.Verdict{0, verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
				mayHaveRun = mayHaveRun || v != verdict.NotRun
				d := c.Failed(Failure{Verdict: v}, start)
				inFlight--
				if d.Action != Retry {
					continue
				}
				attempts++
				inFlight++
				if sent || v == verdict.Ran || mayHaveRun && !idempotent {
					t.Fatalf("request %d was retried after verdict %s, sent %v", i, v, sent)
				}
			}
			if (c.Verdict() == verdict.NotRun) == mayHaveRun {
				t.Fatalf("request %d ended with verdict %s", i, c.Verdict())
			}
			if 10*(attempts-saved) > 11*(i+1) {
				t.Fatalf("%d attempts for %d requests with %d saved", attempts, i+1, saved)
			}
		}
	})
}

func TestDecisions(t *testing.T) {
	Convey("When every server fails, requests get 1.1 attempts and not fewer", t, func() {
		var budget Budget
		attempts := 0
		for i := range 10_000 {
			c := NewCall(fmt.Sprint(i), true, time.Time{}, &budget)
			for c.Failed(Failure{Verdict: verdict.NotRun}, start).Action == Retry {
				continue
			}
			attempts += c.Attempts()
		}
		So(attempts, ShouldBeBetweenOrEqual, 10_990, 11_000)
	})
	Convey("A broken stream resumes at its position, without a new attempt, also when nothing may be repeated", t, func() {
		var budget Budget
		c := NewCall("r", false, start.Add(time.Minute), &budget)
		c.Sent(7)
		d := c.Failed(Failure{Verdict: verdict.MayHaveRun, Resumable: true}, start)
		So(d, ShouldResemble, Decision{Action: Resume, Reason: ReasonResume, Position: 7})
		So(c.Attempts(), ShouldEqual, 1)
		for range maxResumes {
			d = c.Failed(Failure{Verdict: verdict.MayHaveRun, Resumable: true}, start)
		}
		So(d.Reason, ShouldEqual, ReasonAnswerBegun)
	})
	Convey("No attempt starts after the deadline, and the waits double within their bounds", t, func() {
		budget := Budget{saved: maxBudget}
		c := NewCall("r", true, start.Add(time.Second), &budget)
		So(c.Failed(Failure{Verdict: verdict.NotRun}, start.Add(time.Second)).Reason, ShouldEqual, ReasonDeadline)
		c = NewCall("r", true, time.Time{}, &budget)
		first := c.Failed(Failure{Verdict: verdict.NotRun}, start).Wait
		second := c.Failed(Failure{Verdict: verdict.NotRun}, start).Wait
		So(first, ShouldBeBetweenOrEqual, firstWait/2, firstWait)
		So(second, ShouldAlmostEqual, 2*first, time.Microsecond)
		So(c.Failed(Failure{Verdict: verdict.NotRun}, start).Reason, ShouldEqual, ReasonAttempts)
	})
	Convey("The second attempt of a hedge still counts when the first one fails", t, func() {
		budget := Budget{saved: maxBudget}
		c := NewCall("r", true, time.Time{}, &budget)
		So(c.Hedge(time.Millisecond, time.Second, start), ShouldBeFalse)
		So(c.Hedge(time.Second, time.Second, start), ShouldBeTrue)
		So(c.Hedge(time.Second, time.Second, start), ShouldBeFalse)
		So(c.Failed(Failure{Verdict: verdict.NotRun}, start).Action, ShouldEqual, Await)
		So(c.Verdict(), ShouldEqual, verdict.MayHaveRun)
	})
}

// Guards against the ejection of more than half of a model's servers, ordinary work or a second probe on
// an ejected server, a probe during the back-off, and a server that never returns.
func TestEjectorProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := EjectorSettings{Failures: 2}
		e, now := NewEjector(settings), start
		names := []string{"a", "b", "c", "d", "e"}
		present := names[:4]
		e.SetServers(present)
		probing := map[string]bool{}
		ejectedAt := map[string]time.Time{}
		name := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "server") }
		note := func() {
			for _, n := range names {
				_, was := ejectedAt[n]
				out := slices.Contains(present, n) && !e.Usable(n)
				if out && !was {
					ejectedAt[n] = now
				} else if !out {
					delete(ejectedAt, n)
					delete(probing, n)
				}
			}
			if 2*len(ejectedAt) > len(present) {
				t.Fatalf("%d of %d servers are ejected", len(ejectedAt), len(present))
			}
			if len(e.Ejected()) != len(ejectedAt) {
				t.Fatalf("%v are ejected instead of %v", e.Ejected(), ejectedAt)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				n := name(t)
				e.RecordResult(n, false, now)
				if probing[n] {
					delete(probing, n)
					ejectedAt[n] = now
				}
				note()
			},
			"succeed": func(t *rapid.T) {
				n := name(t)
				e.RecordResult(n, true, now)
				if probing[n] && !e.Usable(n) {
					t.Fatalf("%s is still ejected after a good probe", n)
				}
				note()
			},
			"probe": func(t *rapid.T) {
				for _, n := range names {
					if !e.TryProbe(n, now) {
						continue
					}
					at, out := ejectedAt[n]
					if !out || probing[n] || now.Sub(at) < time.Second {
						t.Fatalf("%s was probed: ejected %v since %s, probing %v", n, out, now.Sub(at), probing[n])
					}
					probing[n] = true
				}
			},
			"members": func(t *rapid.T) {
				present = names[:rapid.IntRange(0, len(names)).Draw(t, "servers")]
				e.SetServers(present)
				note()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		now = now.Add(time.Minute)
		for _, n := range e.Ejected() {
			if !e.TryProbe(n, now) {
				t.Fatalf("%s is not probed after the longest ejection", n)
			}
			e.RecordResult(n, true, now)
		}
		if len(e.Ejected()) > 0 {
			t.Fatalf("%v did not return", e.Ejected())
		}
	})
}

func TestEjectionBackOff(t *testing.T) {
	Convey("Each failed probe doubles the ejection up to the longest, and time in service resets it", t, func() {
		e, now := NewEjector(EjectorSettings{Failures: 1, Longest: 5 * time.Second}), start
		e.SetServers([]string{"a", "b"})
		for _, length := range []time.Duration{1, 2, 4, 5, 5} {
			e.RecordResult("a", false, now)
			So(e.TryProbe("a", now.Add(length*time.Second-1)), ShouldBeFalse)
			now = now.Add(length * time.Second)
			So(e.TryProbe("a", now), ShouldBeTrue)
		}
		e.RecordResult("a", true, now)
		now = now.Add(5 * time.Minute)
		e.RecordResult("a", false, now)
		So(e.TryProbe("a", now.Add(time.Second)), ShouldBeTrue)
	})
}

func print(i int) Fingerprint {
	return NewFingerprint("w", adapter.Ref{Name: "a"}, "/v1/completions", []byte(fmt.Sprint(i)))
}

// Guards against a request that goes on crashing engines, an innocent request that is refused or never
// runs, and instances that disagree about the blame. The oracle knows the requests that crash engines.
func TestBlameProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests, engines = 8, 3
		culprits := rapid.IntRange(1, 3).Draw(t, "culprits")
		fleet := []*CrashAttributor{NewCrashAttributor(), NewCrashAttributor(), NewCrashAttributor()}
		now, crashes, done := start, map[int]int{}, map[int]bool{}
		share := func(recs ...BlameRecord) {
			for _, b := range fleet {
				for _, i := range rapid.Permutation(append(recs, recs...)).Draw(t, "records") {
					b.Merge(i, now)
				}
			}
		}
		type place struct{ instance, engine int }
		running, epoch := map[place][]int{}, map[place]int{}
		key := func(p place) EngineRun {
			return EngineRun{Engine: fmt.Sprint(p.instance, "/", p.engine), Incarnation: fmt.Sprint(epoch[p])}
		}
		for step := 0; step < 400 && len(done) < requests; step++ {
			now = now.Add(time.Second)
			r := rapid.IntRange(0, requests-1).Draw(t, "request")
			p := place{rapid.IntRange(0, len(fleet)-1).Draw(t, "instance"), rapid.IntRange(0, engines-1).Draw(t, "engine")}
			b := fleet[p.instance]
			isRunning := false
			for _, on := range running {
				isRunning = isRunning || slices.Contains(on, r)
			}
			if refusal := b.Check(print(r), now); refusal != nil {
				if r >= culprits {
					t.Fatalf("innocent request %d is refused", r)
				}
				done[r] = true
			} else if !isRunning && !done[r] && b.MayStart(print(r), key(p), now) {
				b.Started(fmt.Sprint(r), print(r), key(p))
				running[p] = append(running[p], r)
			}
			if step%4 != 3 {
				continue
			}
			p = place{step / 4 % len(fleet), step / 12 % engines}
			on := running[p]
			delete(running, p)
			if slices.ContainsFunc(on, func(r int) bool { return r < culprits }) {
				ids, rec := fleet[p.instance].Crashed(key(p), now)
				if len(ids) != len(on) {
					t.Fatalf("the crash ended %v instead of %v", ids, on)
				}
				for _, r := range on {
					crashes[r]++
					if crashes[r] > 2 || r >= culprits && crashes[r] > 1 {
						t.Fatalf("request %d coincided with %d crashes", r, crashes[r])
					}
				}
				epoch[p]++
				share(*rec)
				continue
			}
			for _, r := range on {
				if recs := fleet[p.instance].Finished(fmt.Sprint(r), key(p), true); recs != nil {
					share(recs...)
				}
				done[r] = true
			}
		}
		if len(done) < requests {
			t.Fatalf("only %v of %d requests were settled", done, requests)
		}
		want, _ := json.Marshal(fleet[0].Records())
		for _, b := range fleet[1:] {
			if got, _ := json.Marshal(b.Records()); string(got) != string(want) {
				t.Fatalf("instances disagree: %s and %s", got, want)
			}
		}
	})
}

func TestBlame(t *testing.T) {
	Convey("A request that crashes each server is stopped after two and refused through another instance", t, func() {
		one, other, now := NewCrashAttributor(), NewCrashAttributor(), start
		crashes := 0
		for i := 0; one.Check(print(1), now) == nil; i++ {
			engine := EngineRun{Engine: fmt.Sprint(i), Incarnation: "1"}
			one.Started(fmt.Sprint(i), print(1), engine)
			now = now.Add(time.Minute)
			_, rec := one.Crashed(engine, now)
			crashes++
			env, err := record.New(KindBlame, fmt.Sprint(i), "x", rec)
			So(err, ShouldBeNil)
			So(other.Apply(record.Entry{Envelope: env}, now), ShouldBeNil)
		}
		So(crashes, ShouldEqual, 2)
		refusal := other.Check(print(1), now)
		So(refusal.Verdict, ShouldEqual, verdict.NotRun)
		So(refusal.RetryAfter, ShouldEqual, BlameWindow)
		So(other.Check(print(2), now), ShouldBeNil)
		So(other.Check(print(1), now.Add(BlameWindow-1)), ShouldNotBeNil)
		So(other.Check(print(1), now.Add(BlameWindow)), ShouldBeNil)
		other.Expire(now.Add(crashMemory))
		So(other.Records(), ShouldBeEmpty)
	})
	Convey("Two requests that ran together in two crashes are told apart by running alone", t, func() {
		b := NewCrashAttributor()
		for i := range 2 {
			b.Merge(BlameRecord{Crash: EngineRun{Engine: fmt.Sprint(i)}, UnixMilli: start.UnixMilli(),
				Suspects: []Fingerprint{print(1), print(2)}}, start)
		}
		So(b.Check(print(1), start), ShouldBeNil)
		So(b.Check(print(2), start), ShouldBeNil)
		engine := EngineRun{Engine: "e"}
		b.Started("2", print(2), engine)
		So(b.MayStart(print(3), engine, start), ShouldBeFalse)
		So(b.Finished("2", engine, true), ShouldHaveLength, 2)
		So(b.Suspect(print(2), start), ShouldBeFalse)
		So(b.Check(print(2), start), ShouldBeNil)
		So(b.Check(print(1), start), ShouldNotBeNil)
	})
	Convey("Two crashes further apart than the window are no blame", t, func() {
		b := NewCrashAttributor()
		for i, at := range []time.Duration{0, BlameWindow + time.Millisecond} {
			b.Merge(BlameRecord{Crash: EngineRun{Incarnation: fmt.Sprint(i)}, UnixMilli: start.Add(at).UnixMilli(),
				Suspects: []Fingerprint{print(1)}}, start.Add(at))
		}
		So(b.Check(print(1), start.Add(BlameWindow+time.Millisecond)), ShouldBeNil)
	})
	Convey("One crash reported by two instances counts once", t, func() {
		b := NewCrashAttributor()
		for range 2 {
			b.Merge(BlameRecord{Crash: EngineRun{Engine: "e"}, UnixMilli: start.UnixMilli(), Suspects: []Fingerprint{print(1)}}, start)
		}
		So(b.Check(print(1), start), ShouldBeNil)
		So(b.Suspect(print(1), start), ShouldBeTrue)
	})
	Convey("The parts of a fingerprint cannot be shifted into each other, and its text form is exact", t, func() {
		So(NewFingerprint("ab", adapter.Ref{}, "", nil), ShouldNotEqual, NewFingerprint("a", adapter.Ref{Name: "b"}, "", nil))
		var f Fingerprint
		So(f.UnmarshalText([]byte(print(1).String())), ShouldBeNil)
		So(f, ShouldEqual, print(1))
		So(f.UnmarshalText([]byte("00")), ShouldNotBeNil)
	})
}
