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

// TestMain sets the default seed of the property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var startTime = time.Unix(1_700_000_000, 0)

// TestCallProperties guards against retry storms (more than 1.1 attempts per request, from the first request
// on), retries of non-idempotent calls that may have run, retries after a byte was sent to the caller, and
// false not-run verdicts.
func TestCallProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		saved := rapid.IntRange(0, 20).Draw(t, "attempts saved")
		budget := Budget{saved: int64(saved) * costPerAttempt}
		attempts := 0
		n := rapid.IntRange(1, 300).Draw(t, "requests")
		failing := rapid.Bool().Draw(t, "every attempt fails")
		for i := range n {
			idempotent := failing || rapid.Bool().Draw(t, "idempotent")
			c := NewCall(fmt.Sprint(i), idempotent, startTime.Add(time.Minute), &budget)
			attempts++
			inFlight, sent, mayHaveRun := 1, false, false
			for inFlight > 0 {
				if !failing && rapid.Bool().Draw(t, "send") {
					c.Sent(1)
					sent = true
				}
				if c.Hedge(time.Second, time.Second, startTime) {
					if !idempotent || sent || mayHaveRun {
						t.Fatalf("request %d must not be hedged", i)
					}
					inFlight++
					attempts++
				}
				v := rapid.SampledFrom([]verdict.Verdict{0, verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
				mayHaveRun = mayHaveRun || v != verdict.NotRun
				d := c.Failed(Failure{Verdict: v}, startTime)
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
				t.Fatalf("%d attempts for %d requests, with a budget of %d extra attempts at the start", attempts, i+1, saved)
			}
		}
	})
}

func TestDecisions(t *testing.T) {
	Convey("If every server fails, requests get 1.1 attempts on average and not fewer", t, func() {
		var budget Budget
		attempts := 0
		for i := range 10_000 {
			c := NewCall(fmt.Sprint(i), true, time.Time{}, &budget)
			for c.Failed(Failure{Verdict: verdict.NotRun}, startTime).Action == Retry {
				continue
			}
			attempts += c.Attempts()
		}
		So(attempts, ShouldBeBetweenOrEqual, 10_990, 11_000)
	})
	Convey("A broken stream resumes at its position without a new attempt, even if the call is not idempotent", t, func() {
		var budget Budget
		c := NewCall("r", false, startTime.Add(time.Minute), &budget)
		c.Sent(7)
		d := c.Failed(Failure{Verdict: verdict.MayHaveRun, Resumable: true}, startTime)
		So(d, ShouldResemble, Decision{Action: Resume, Reason: ReasonResume, Position: 7})
		So(c.Attempts(), ShouldEqual, 1)
		for range maxResumes {
			d = c.Failed(Failure{Verdict: verdict.MayHaveRun, Resumable: true}, startTime)
		}
		So(d.Reason, ShouldEqual, ReasonAnswerBegun)
	})
	Convey("No attempt starts after the deadline, and the back-off doubles within its limits", t, func() {
		budget := Budget{saved: maxBudget}
		c := NewCall("r", true, startTime.Add(time.Second), &budget)
		So(c.Failed(Failure{Verdict: verdict.NotRun}, startTime.Add(time.Second)).Reason, ShouldEqual, ReasonDeadline)
		c = NewCall("r", true, time.Time{}, &budget)
		first := c.Failed(Failure{Verdict: verdict.NotRun}, startTime).Wait
		second := c.Failed(Failure{Verdict: verdict.NotRun}, startTime).Wait
		So(first, ShouldBeBetweenOrEqual, initialBackoff/2, initialBackoff)
		So(second, ShouldAlmostEqual, 2*first, time.Microsecond)
		So(c.Failed(Failure{Verdict: verdict.NotRun}, startTime).Reason, ShouldEqual, ReasonAttempts)
	})
	Convey("The second attempt of a hedged call continues if the first one fails", t, func() {
		budget := Budget{saved: maxBudget}
		c := NewCall("r", true, time.Time{}, &budget)
		So(c.Hedge(time.Millisecond, time.Second, startTime), ShouldBeFalse)
		So(c.Hedge(time.Second, time.Second, startTime), ShouldBeTrue)
		So(c.Hedge(time.Second, time.Second, startTime), ShouldBeFalse)
		So(c.Failed(Failure{Verdict: verdict.NotRun}, startTime).Action, ShouldEqual, Await)
		So(c.Verdict(), ShouldEqual, verdict.MayHaveRun)
	})
}

// TestEjectorProperties guards against the ejection of more than half of a model's servers, ordinary requests
// or a second probe to an ejected server, a probe during the back-off, and a server that is never readmitted.
func TestEjectorProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := EjectorSettings{ConsecutiveFailures: 2}
		e, now := NewEjector(settings), startTime
		names := []string{"a", "b", "c", "d", "e"}
		present := names[:4]
		e.SetServers(present)
		probing := map[string]bool{}
		ejectedAt := map[string]time.Time{}
		drawName := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "server") }
		checkInvariants := func() {
			for _, n := range names {
				_, was := ejectedAt[n]
				ejected := slices.Contains(present, n) && !e.Usable(n)
				if ejected && !was {
					ejectedAt[n] = now
				} else if !ejected {
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
				n := drawName(t)
				e.RecordResult(n, false, now)
				if probing[n] {
					delete(probing, n)
					ejectedAt[n] = now
				}
				checkInvariants()
			},
			"succeed": func(t *rapid.T) {
				n := drawName(t)
				e.RecordResult(n, true, now)
				if probing[n] && !e.Usable(n) {
					t.Fatalf("%s is still ejected after a successful probe", n)
				}
				checkInvariants()
			},
			"probe": func(t *rapid.T) {
				for _, n := range names {
					if !e.TryProbe(n, now) {
						continue
					}
					at, ejected := ejectedAt[n]
					if !ejected || probing[n] || now.Sub(at) < time.Second {
						t.Fatalf("%s was probed: ejected %v since %s, probing %v", n, ejected, now.Sub(at), probing[n])
					}
					probing[n] = true
				}
			},
			"members": func(t *rapid.T) {
				present = names[:rapid.IntRange(0, len(names)).Draw(t, "servers")]
				e.SetServers(present)
				checkInvariants()
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		now = now.Add(time.Minute)
		for _, n := range e.Ejected() {
			if !e.TryProbe(n, now) {
				t.Fatalf("%s is not probed after the maximum ejection", n)
			}
			e.RecordResult(n, true, now)
		}
		if len(e.Ejected()) > 0 {
			t.Fatalf("%v were not readmitted after a successful probe", e.Ejected())
		}
	})
}

func TestEjectionBackOff(t *testing.T) {
	Convey("Each failed probe doubles the ejection up to the maximum, and time in service resets it", t, func() {
		e, now := NewEjector(EjectorSettings{ConsecutiveFailures: 1, MaxEjection: 5 * time.Second}), startTime
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

func testFingerprint(i int) Fingerprint {
	return NewFingerprint("w", adapter.Ref{Name: "a"}, "/v1/completions", []byte(fmt.Sprint(i)))
}

// TestCrashAttributorProperties guards against a request that keeps crashing engines, an innocent request that
// is refused or never runs, and instances whose crash records diverge. The test knows which requests crash
// engines.
func TestCrashAttributorProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests, engines = 8, 3
		culprits := rapid.IntRange(1, 3).Draw(t, "culprits")
		attributors := []*CrashAttributor{NewCrashAttributor(), NewCrashAttributor(), NewCrashAttributor()}
		now, crashes, done := startTime, map[int]int{}, map[int]bool{}
		share := func(recs ...BlameRecord) {
			for _, a := range attributors {
				for _, i := range rapid.Permutation(append(recs, recs...)).Draw(t, "records") {
					a.Merge(i, now)
				}
			}
		}
		type location struct{ instance, engine int }
		running, restarts := map[location][]int{}, map[location]int{}
		engineRun := func(p location) EngineRun {
			return EngineRun{Engine: fmt.Sprint(p.instance, "/", p.engine), Incarnation: fmt.Sprint(restarts[p])}
		}
		for step := 0; step < 400 && len(done) < requests; step++ {
			now = now.Add(time.Second)
			r := rapid.IntRange(0, requests-1).Draw(t, "request")
			p := location{rapid.IntRange(0, len(attributors)-1).Draw(t, "instance"), rapid.IntRange(0, engines-1).Draw(t, "engine")}
			a := attributors[p.instance]
			isRunning := false
			for _, active := range running {
				isRunning = isRunning || slices.Contains(active, r)
			}
			if refusal := a.Check(testFingerprint(r), now); refusal != nil {
				if r >= culprits {
					t.Fatalf("innocent request %d is refused", r)
				}
				done[r] = true
			} else if !isRunning && !done[r] && a.MayStart(testFingerprint(r), engineRun(p), now) {
				a.Started(fmt.Sprint(r), testFingerprint(r), engineRun(p))
				running[p] = append(running[p], r)
			}
			if step%4 != 3 {
				continue
			}
			p = location{step / 4 % len(attributors), step / 12 % engines}
			active := running[p]
			delete(running, p)
			if slices.ContainsFunc(active, func(r int) bool { return r < culprits }) {
				ids, rec := attributors[p.instance].Crashed(engineRun(p), now)
				if len(ids) != len(active) {
					t.Fatalf("the crash ended %v instead of %v", ids, active)
				}
				for _, r := range active {
					crashes[r]++
					if crashes[r] > 2 || r >= culprits && crashes[r] > 1 {
						t.Fatalf("request %d was running during %d crashes", r, crashes[r])
					}
				}
				restarts[p]++
				share(*rec)
				continue
			}
			for _, r := range active {
				if recs := attributors[p.instance].Finished(fmt.Sprint(r), engineRun(p), true); recs != nil {
					share(recs...)
				}
				done[r] = true
			}
		}
		if len(done) < requests {
			t.Fatalf("only %v of %d requests completed or were refused", done, requests)
		}
		want, _ := json.Marshal(attributors[0].Records())
		for _, a := range attributors[1:] {
			if got, _ := json.Marshal(a.Records()); string(got) != string(want) {
				t.Fatalf("instances have different crash records: %s and %s", got, want)
			}
		}
	})
}

func TestCrashAttributor(t *testing.T) {
	Convey("A request that crashes every engine is refused after two crashes, also by another instance", t, func() {
		one, other, now := NewCrashAttributor(), NewCrashAttributor(), startTime
		crashes := 0
		for i := 0; one.Check(testFingerprint(1), now) == nil; i++ {
			engine := EngineRun{Engine: fmt.Sprint(i), Incarnation: "1"}
			one.Started(fmt.Sprint(i), testFingerprint(1), engine)
			now = now.Add(time.Minute)
			_, rec := one.Crashed(engine, now)
			crashes++
			env, err := record.New(KindBlame, fmt.Sprint(i), "x", rec)
			So(err, ShouldBeNil)
			So(other.Apply(record.Entry{Envelope: env}, now), ShouldBeNil)
		}
		So(crashes, ShouldEqual, 2)
		refusal := other.Check(testFingerprint(1), now)
		So(refusal.Verdict, ShouldEqual, verdict.NotRun)
		So(refusal.RetryAfter, ShouldEqual, BlameWindow)
		So(other.Check(testFingerprint(2), now), ShouldBeNil)
		So(other.Check(testFingerprint(1), now.Add(BlameWindow-1)), ShouldNotBeNil)
		So(other.Check(testFingerprint(1), now.Add(BlameWindow)), ShouldBeNil)
		other.Expire(now.Add(crashRetention))
		So(other.Records(), ShouldBeEmpty)
	})
	Convey("Of two requests that ran during the same two crashes, the one that completes alone is cleared", t, func() {
		a := NewCrashAttributor()
		for i := range 2 {
			a.Merge(BlameRecord{Crash: EngineRun{Engine: fmt.Sprint(i)}, UnixMilli: startTime.UnixMilli(),
				Suspects: []Fingerprint{testFingerprint(1), testFingerprint(2)}}, startTime)
		}
		So(a.Check(testFingerprint(1), startTime), ShouldBeNil)
		So(a.Check(testFingerprint(2), startTime), ShouldBeNil)
		engine := EngineRun{Engine: "e"}
		a.Started("2", testFingerprint(2), engine)
		So(a.MayStart(testFingerprint(3), engine, startTime), ShouldBeFalse)
		So(a.Finished("2", engine, true), ShouldHaveLength, 2)
		So(a.Suspect(testFingerprint(2), startTime), ShouldBeFalse)
		So(a.Check(testFingerprint(2), startTime), ShouldBeNil)
		So(a.Check(testFingerprint(1), startTime), ShouldNotBeNil)
	})
	Convey("Two crashes further apart than the window are not attributed to a request", t, func() {
		a := NewCrashAttributor()
		for i, at := range []time.Duration{0, BlameWindow + time.Millisecond} {
			a.Merge(BlameRecord{Crash: EngineRun{Incarnation: fmt.Sprint(i)}, UnixMilli: startTime.Add(at).UnixMilli(),
				Suspects: []Fingerprint{testFingerprint(1)}}, startTime.Add(at))
		}
		So(a.Check(testFingerprint(1), startTime.Add(BlameWindow+time.Millisecond)), ShouldBeNil)
	})
	Convey("One crash reported by two instances counts once", t, func() {
		a := NewCrashAttributor()
		for range 2 {
			a.Merge(BlameRecord{Crash: EngineRun{Engine: "e"}, UnixMilli: startTime.UnixMilli(),
				Suspects: []Fingerprint{testFingerprint(1)}}, startTime)
		}
		So(a.Check(testFingerprint(1), startTime), ShouldBeNil)
		So(a.Suspect(testFingerprint(1), startTime), ShouldBeTrue)
	})
	Convey("Moving bytes between fields changes the fingerprint, and its text form is strict", t, func() {
		So(NewFingerprint("ab", adapter.Ref{}, "", nil), ShouldNotEqual, NewFingerprint("a", adapter.Ref{Name: "b"}, "", nil))
		var f Fingerprint
		So(f.UnmarshalText([]byte(testFingerprint(1).String())), ShouldBeNil)
		So(f, ShouldEqual, testFingerprint(1))
		So(f.UnmarshalText([]byte("00")), ShouldNotBeNil)
	})
}
