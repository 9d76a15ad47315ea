package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestAnswerDoesNotReturn guards against an old answer that counts as recent again when another one comes, and against the
// panic that followed: a worker was then no evidence against a suspect that still named it.
func TestAnswerDoesNotReturn(t *testing.T) {
	Convey("a suspect whose answer is old stays suspected after another suspect's answer", t, func() {
		const step = 100 * time.Millisecond
		c := NewWorkerCrashTracker()
		c.Answered([]Suspect{"s"}, 0)
		now := 2*answerMemory + step
		So(c.RecentlyAnswered("s", now), ShouldBeFalse)
		broken := BrokenAttempt{Worker: "w", Suspects: []Suspect{"s"}, Own: true}
		c.Add(broken, now)
		c.Answered([]Suspect{"other"}, now+step)
		So(c.RecentlyAnswered("s", now+step), ShouldBeFalse)
		c.Add(broken, now+step)
		now += brokenAttemptWindow + 3*step
		c.Decide(now)
		So(func() { c.Answered([]Suspect{"s"}, now) }, ShouldNotPanic)
	})
}

// TestRandomEvidence guards against panics of the tracker, and against workers and suspects that disagree on the evidence,
// whatever the order of attempts, answers and refusals.
func TestRandomEvidence(t *testing.T) {
	suspect := rapid.SampledFrom([]Suspect{"a", "b", PromptPartSuspect("c"), PromptPartSuspect("d"), ""})
	list := rapid.SliceOfN(suspect, 0, 3)
	worker := rapid.SampledFrom([]string{"v", "w", "x", "y", ""})
	pause := rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, answerMemory, 2*answerMemory + 1, brokenAttemptWindow / 2, brokenAttemptWindow + 1, probation})
	rapid.Check(t, func(t *rapid.T) {
		c, now := NewWorkerCrashTracker(), time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for name, w := range c.workers {
					for s, counts := range w.suspects {
						if counts && (c.suspects[s] == nil || !c.suspects[s].workers[name]) {
							t.Fatalf("worker %q is evidence against %q, which does not name it", name, s)
						}
					}
				}
				for s, e := range c.suspects {
					for name := range e.workers {
						if c.workers[name] == nil || !c.workers[name].suspects[s] {
							t.Fatalf("suspect %q names worker %q, which is no evidence against it", s, name)
						}
					}
				}
			},
			"pause":    func(t *rapid.T) { now += pause.Draw(t, "pause") },
			"answered": func(t *rapid.T) { c.Answered(list.Draw(t, "suspects"), now) },
			"broken": func(t *rapid.T) {
				c.Add(BrokenAttempt{Worker: worker.Draw(t, "worker"), Suspects: list.Draw(t, "suspects"), Crashed: rapid.Bool().Draw(t, "crashed"), Own: rapid.Bool().Draw(t, "own")}, now)
			},
			"decide": func(*rapid.T) { c.Decide(now) },
			"adopt": func(t *rapid.T) {
				c.Adopt(Refusal{Suspect: suspect.Draw(t, "suspect"), Remaining: pause.Draw(t, "remaining"), Number: rapid.IntRange(-1, 3).Draw(t, "number")}, now)
			},
			"suspected": func(t *rapid.T) { c.Suspected(list.Draw(t, "suspects"), worker.Draw(t, "worker"), now) },
		})
	})
}
