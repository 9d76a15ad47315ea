package retry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func parts(ids ...string) []Suspect {
	var list []Suspect
	for _, id := range ids {
		list = append(list, PromptPartSuspect(id))
	}
	return list
}

// crash adds an attempt of this instance that was cut off by the crash of a worker.
func crash(c *WorkerCrashTracker, worker string, now time.Duration, suspects ...Suspect) {
	c.Add(BrokenAttempt{Worker: worker, Crashed: true, Suspects: suspects, Own: true}, now)
}

func refusedSuspects(list []Refusal) []Suspect {
	var out []Suspect
	for _, r := range list {
		out = append(out, r.Suspect)
	}
	return out
}

// TestCauseOfCrashes guards against the refusal of what was only present at crashes, in place of their cause.
func TestCauseOfCrashes(t *testing.T) {
	const start = time.Hour
	Convey("the suspect with the most workers is refused", t, func() {
		c := NewWorkerCrashTracker()
		crash(c, "w1", start, parts("common", "bad", "x")...)
		crash(c, "w2", start, parts("common", "bad")...)
		So(c.Decide(start), ShouldBeEmpty)
		c.Answered(parts("common"), start)
		crash(c, "w3", start, parts("common", "bad", "y")...)
		So(refusedSuspects(c.Decide(start)), ShouldResemble, parts("bad"))
		_, refused := c.Refused(parts("common", "x", "y"), start)
		So(refused, ShouldBeFalse)
	})
	Convey("of suspects at the same workers the most specific one is refused", t, func() {
		c := NewWorkerCrashTracker()
		for i := range 3 {
			crash(c, fmt.Sprint("w", i), start, append(parts("common", "bad"), RequestSuspect(fmt.Sprint("f", i)))...)
		}
		So(refusedSuspects(c.Decide(start)), ShouldResemble, parts("bad"))
	})
	Convey("a repeated request is refused, and the part of its prompt only if another request with it crashes a worker", t, func() {
		c := NewWorkerCrashTracker()
		for i := range 3 {
			crash(c, fmt.Sprint("w", i), start, append(parts("bad"), RequestSuspect("f"))...)
		}
		So(refusedSuspects(c.Decide(start)), ShouldResemble, []Suspect{"f"})
		crash(c, "w4", start, append(parts("bad"), RequestSuspect("g"))...)
		So(refusedSuspects(c.Decide(start)), ShouldResemble, parts("bad"))
	})
	Convey("attempts that broke off at workers that did not crash are not enough", t, func() {
		c := NewWorkerCrashTracker()
		for i := range 9 {
			c.Add(BrokenAttempt{Worker: fmt.Sprint("w", i), Crashed: i == 0, Suspects: parts("a"), Own: true}, start)
		}
		So(c.Decide(start), ShouldBeEmpty)
	})
	Convey("evidence of other instances alone decides nothing", t, func() {
		c := NewWorkerCrashTracker()
		for i := range 9 {
			c.Add(BrokenAttempt{Worker: fmt.Sprint("w", i), Crashed: true, Suspects: parts("a")}, start)
		}
		So(c.Decide(start), ShouldBeEmpty)
	})
	Convey("a late report of a crash that an answer has cleared is not counted again", t, func() {
		c := NewWorkerCrashTracker()
		for i := range 3 {
			c.Add(BrokenAttempt{Worker: fmt.Sprint("w", i), Crashed: true, Suspects: parts("a")}, start)
		}
		c.Answered(parts("a"), start)
		for i := range 3 {
			crash(c, fmt.Sprint("w", i), start+3*answerMemory, parts("a")...)
		}
		So(c.Decide(start+3*answerMemory), ShouldBeEmpty)
	})
	Convey("a part that begins to crash workers soon after an answer is refused", t, func() {
		c := NewWorkerCrashTracker()
		c.Answered(parts("a"), start)
		for i := range 6 {
			now := start + time.Duration(i)*answerMemory
			crash(c, fmt.Sprint("w", i), now, parts("a")...)
		}
		So(c.Decide(start+5*answerMemory), ShouldNotBeEmpty)
	})
}

// TestRefusalEnds guards against refusals that never end, that end for good although the cause persists, and that echo
// between instances.
func TestRefusalEnds(t *testing.T) {
	const start = time.Hour
	refuseA := func() (*WorkerCrashTracker, Refusal) {
		c := NewWorkerCrashTracker()
		for i := range 3 {
			crash(c, fmt.Sprint("w", i), start, parts("a")...)
		}
		return c, c.Decide(start)[0]
	}
	Convey("a refusal ends, and after it one crash suffices for one of twice the length", t, func() {
		c, r := refuseA()
		So(r.Remaining, ShouldEqual, initialRefusal)
		end := start + initialRefusal
		_, refused := c.Refused(parts("a"), end-1)
		So(refused, ShouldBeTrue)
		_, refused = c.Refused(parts("a"), end)
		So(refused, ShouldBeFalse)
		crash(c, "w9", end, parts("a")...)
		again := c.Decide(end)
		So(again, ShouldHaveLength, 1)
		So(again[0].Remaining, ShouldEqual, 2*initialRefusal)
		So(c.Decide(end), ShouldBeEmpty)
	})
	Convey("attempts that were sent before a refusal do not prolong it", t, func() {
		c := NewWorkerCrashTracker()
		for i := range 3 {
			crash(c, fmt.Sprint("w", i), start, RequestSuspect("f"))
		}
		So(c.Decide(start), ShouldHaveLength, 1)
		crash(c, "w8", start, RequestSuspect("f"))
		So(c.Decide(start), ShouldBeEmpty)
		So(c.Decide(start+initialRefusal), ShouldBeEmpty)
		crash(c, "w9", start+initialRefusal, RequestSuspect("f"))
		So(c.Decide(start+initialRefusal), ShouldHaveLength, 1)
	})
	Convey("an answer ends a refusal and its consequences", t, func() {
		c, _ := refuseA()
		So(c.Answered(parts("a"), start), ShouldResemble, parts("a"))
		_, refused := c.Refused(parts("a"), start)
		So(refused, ShouldBeFalse)
		crash(c, "w9", start+time.Minute, parts("a")...)
		So(c.Decide(start+time.Minute), ShouldBeEmpty)
	})
	Convey("two instances that report their refusals to each other do not prolong them", t, func() {
		one, _ := refuseA()
		two := NewWorkerCrashTracker()
		for now := start; now < start+3*initialRefusal; now += time.Second {
			for _, r := range one.Refusals(now) {
				two.Adopt(r, now+time.Second)
			}
			for _, r := range two.Refusals(now) {
				one.Adopt(r, now+time.Second)
			}
		}
		_, refused := one.Refused(parts("a"), start+initialRefusal+2*time.Second)
		So(refused, ShouldBeFalse)
		_, refused = two.Refused(parts("a"), start+initialRefusal+2*time.Second)
		So(refused, ShouldBeFalse)
	})
	Convey("a refusal is not adopted while its suspect is answered", t, func() {
		c := NewWorkerCrashTracker()
		c.Answered(parts("a"), start)
		So(c.Adopt(Refusal{Suspect: parts("a")[0], Remaining: time.Minute, Number: 1}, start), ShouldBeFalse)
	})
}

// TestSoundPartsAreNotRefused guards against the refusal of parts that workers answer, however many workers crash, and
// against more crashes by one part than the evidence needs. Each request has one part of its own group and one that all
// have; requests with the bad part crash their workers, and other workers crash by themselves.
func TestSoundPartsAreNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewWorkerCrashTracker()
		now := time.Hour
		badCrashes := 0
		lastAnswer := map[Suspect]time.Duration{}
		for i := range rapid.IntRange(50, 300).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			group := PromptPartSuspect(rapid.SampledFrom([]string{"g1", "g2", "g3", "bad"}).Draw(t, "group"))
			list := []Suspect{PromptPartSuspect("all"), group, RequestSuspect(fmt.Sprint("f", i))}
			worker := fmt.Sprint("w", i)
			if _, refused := c.Refused(list, now); refused {
				continue
			}
			switch {
			case group == PromptPartSuspect("bad"):
				badCrashes++
				crash(c, worker, now, list...)
			case rapid.IntRange(0, 9).Draw(t, "crash") == 0:
				crash(c, worker, now, list...)
			default:
				c.Answered(list, now)
				lastAnswer[group] = now
			}
			for _, r := range c.Decide(now) {
				if r.Suspect == PromptPartSuspect("bad") {
					continue
				}
				if answered, ok := lastAnswer[r.Suspect]; ok && now-answered <= answerMemory {
					t.Fatalf("%s is refused %v after it was answered", r.Suspect, now-answered)
				}
			}
		}
		if badCrashes > 5 {
			t.Fatalf("the bad part crashed %d workers", badCrashes)
		}
	})
}

// TestPromptPartRecords guards against crashes of long ago that count for an instance that reads the log, and against
// refusals that the log prolongs.
func TestPromptPartRecords(t *testing.T) {
	const now = time.Hour
	crashRecord := func(incarnation string) PromptPartRecord {
		return PromptPartRecord{Crash: EngineRun{Engine: "e", Incarnation: incarnation}, Attempts: [][]string{{"a", "b"}, {"a", "c"}}}
	}
	Convey("crashes of other instances count with an own one, if they are recent", t, func() {
		for _, age := range []time.Duration{0, brokenAttemptWindow + 1} {
			c := NewWorkerCrashTracker()
			c.ApplyRecord(crashRecord("1"), age, now)
			c.ApplyRecord(crashRecord("2"), age, now)
			So(c.Decide(now), ShouldBeEmpty)
			c.AddRecord(crashRecord("3"), now)
			if age == 0 {
				So(refusedSuspects(c.Decide(now)), ShouldNotBeEmpty)
			} else {
				So(c.Decide(now), ShouldBeEmpty)
			}
		}
	})
	Convey("a refusal that was read from the log ends with the one that it tells of", t, func() {
		c := NewWorkerCrashTracker()
		refusal := PromptPartRecord{Refused: "a", RemainingMS: initialRefusal.Milliseconds(), Number: 1}
		c.ApplyRecord(refusal, 20*time.Second, now)
		_, refused := c.Refused(parts("a"), now+initialRefusal-20*time.Second-1)
		So(refused, ShouldBeTrue)
		_, refused = c.Refused(parts("a"), now+initialRefusal-20*time.Second)
		So(refused, ShouldBeFalse)
		other := NewWorkerCrashTracker()
		other.ApplyRecord(refusal, 2*initialRefusal, now)
		_, refused = other.Refused(parts("a"), now)
		So(refused, ShouldBeFalse)
	})
}
