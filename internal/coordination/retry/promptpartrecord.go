package retry

import (
	"time"

	"github.com/turmericworks/turmericworks/internal/state/record"
)

// KindPromptParts is the kind of the log records with which instances share crashes of engines by parts of prompts.
const KindPromptParts record.Kind = "prompt_parts"

// PromptPartRecord is the body of such a record. It tells of a crash, or of a refusal.
type PromptPartRecord struct {
	// Crash is the run of the engine that crashed, and Attempts are the parts of the prompts that it was running and had not
	// begun to answer, those that most requests have first. Parts that the author saw answered lately are left out.
	Crash    EngineRun  `json:"crash"`
	Attempts [][]string `json:"attempts,omitempty"`
	// Refused is a part whose requests are refused for RemainingMS milliseconds from UnixMilli on, for the Number-th time.
	Refused     string `json:"refused,omitempty"`
	RemainingMS int64  `json:"remaining_ms,omitempty"`
	Number      int    `json:"number,omitempty"`
	// UnixMilli is the time of the record according to its author's wall clock.
	UnixMilli int64 `json:"unix_milli"`
}

// ApplyRecord applies a record of another instance. Its age is the time since it was written; a record from the future
// counts as new. Old crashes are ignored, since this instance has not seen the answers that cleared their suspects.
func (c *WorkerCrashTracker) ApplyRecord(r PromptPartRecord, age, now time.Duration) {
	age = max(0, age)
	if r.Refused != "" {
		remaining := time.Duration(r.RemainingMS)*time.Millisecond - age
		c.Adopt(Refusal{Suspect: PromptPartSuspect(r.Refused), Remaining: remaining, Number: r.Number}, now)
		return
	}
	if age <= brokenAttemptWindow {
		c.addRecord(r, false, now)
	}
}

// AddRecord applies a record of this instance itself.
func (c *WorkerCrashTracker) AddRecord(r PromptPartRecord, now time.Duration) {
	c.addRecord(r, true, now)
}

func (c *WorkerCrashTracker) addRecord(r PromptPartRecord, own bool, now time.Duration) {
	for _, parts := range r.Attempts {
		b := BrokenAttempt{Worker: r.Crash.Engine + "@" + r.Crash.Incarnation, Crashed: true, Own: own}
		for _, id := range parts {
			b.Suspects = append(b.Suspects, PromptPartSuspect(id))
		}
		c.Add(b, now)
	}
}
