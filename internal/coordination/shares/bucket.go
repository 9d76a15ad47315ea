package shares

import (
	"math/bits"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
)

const (
	// Microtokens is the number of microtokens in a token.
	Microtokens int64 = 1_000_000
	// MaxMicrotokens is the largest rate per second and the largest burst, ten million tokens. Larger settings are
	// cut to it, so that the products below fit 128 bits.
	MaxMicrotokens = 10_000_000 * Microtokens
	// slotLength is the time resolution of the headroom history.
	slotLength = time.Second
	// slots is the length of the headroom history: 320 s, longer than the default request deadline of 300 s.
	// What a longer request returns expires.
	slots = 320
	// accrualUnit is one microtoken in units of parts * microtokens/s * ns.
	accrualUnit = uint64(ledger.TotalParts) * uint64(time.Second)
)

// Audit accounts for every microtoken of one bucket since it was created.
type Audit struct {
	// Sources: Granted with the whole of a new workspace, Accrued with time, In with transfers.
	Granted, Accrued, In int64
	// Uses: Spent by settled requests, Expired over the cap, Out with transfers, Lost with the membership.
	Spent, Expired, Out, Lost int64
	// Reserved by requests that are not settled, and Level, which is free.
	Reserved, Level int64
	// Returned is the part of reservations given back by settlements; what exceeded the cap is in Expired.
	Returned int64
}

// Balance returns sources minus uses and holdings. It is zero unless tokens were counted wrongly.
func (a Audit) Balance() int64 {
	return a.Granted + a.Accrued + a.In - a.Spent - a.Expired - a.Out - a.Lost - a.Reserved - a.Level
}

// bucket is a token bucket for some parts of a workspace's rate and burst.
type bucket struct {
	parts       int64
	rate, burst int64 // of the whole workspace, microtokens (per second)
	last        time.Duration
	started     bool
	remainder   uint64 // accrual below one microtoken, in 1/accrualUnit
	audit       Audit
	// headroom is the smallest cap minus level in each slot of the recent past, by slot number modulo slots. A
	// reservation's rest is given back only up to the smallest headroom since the reservation: what
	// exceeds it would have expired had the charge been right from the start.
	headroom [slots]int64
	slot     int64
}

// mulDiv returns a*b/c rounded down, for b <= c or a quotient known to fit.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}

func (b *bucket) capacity() int64 { return mulDiv(b.burst, b.parts, ledger.TotalParts) }

// accrue brings the bucket to the time. Time never goes backwards; an earlier one is ignored.
func (b *bucket) accrue(now time.Duration) {
	if !b.started {
		b.started, b.last, b.slot = true, now, int64(now/slotLength)
	}
	if now > b.last {
		// More than 10^6 s at once fills every bucket; the bound keeps the quotient below in 64 bits.
		dt := min(now-b.last, 1_000_000*time.Second)
		hi, lo := bits.Mul64(uint64(b.parts)*uint64(b.rate), uint64(dt))
		lo, carry := bits.Add64(lo, b.remainder, 0)
		var q uint64
		q, b.remainder = bits.Div64(hi+carry, lo, accrualUnit)
		b.audit.Accrued += int64(q)
		b.add(int64(q))
		b.last = now
	}
	b.noteHeadroom()
}

// add puts tokens into the bucket; what exceeds the cap expires.
func (b *bucket) add(microtokens int64) {
	b.audit.Level += microtokens
	if over := b.audit.Level - b.capacity(); over >= 0 {
		b.audit.Level -= over
		b.audit.Expired += over
		b.remainder = 0
	}
}

// noteHeadroom records the headroom for the slot of the last accrual. Since the level only rose since the call
// before, the value also bounds the slots in between from below.
func (b *bucket) noteHeadroom() {
	h := b.capacity() - b.audit.Level
	current := int64(b.last / slotLength)
	for s := max(b.slot+1, current-slots+1); s <= current; s++ {
		b.headroom[s%slots] = h
	}
	b.slot = max(b.slot, current)
	i := b.slot % slots
	b.headroom[i] = min(b.headroom[i], h)
}

// reserve takes tokens if there are enough.
func (b *bucket) reserve(microtokens int64) bool {
	if b.audit.Level < microtokens {
		return false
	}
	b.audit.Level -= microtokens
	b.audit.Reserved += microtokens
	return true
}

// settle ends a reservation made in the slot: spent is charged and the rest given back.
func (b *bucket) settle(slot, reserved, spent int64) {
	rest := reserved - spent
	b.audit.Reserved -= reserved
	b.audit.Spent += spent
	b.audit.Returned += rest
	credit := rest
	if slot <= b.slot-slots {
		credit = 0
	}
	for s := slot; s <= b.slot && credit > 0; s++ {
		credit = min(credit, b.headroom[s%slots])
	}
	credit = max(credit, 0)
	for s := slot; s <= b.slot && credit > 0; s++ {
		b.headroom[s%slots] -= credit
	}
	b.audit.Level += credit
	b.audit.Expired += rest - credit
	b.noteHeadroom()
}

// configure changes the workspace's rate and burst.
func (b *bucket) configure(rate, burst int64) {
	b.rate = min(max(rate, 0), MaxMicrotokens)
	b.burst = min(max(burst, 0), MaxMicrotokens)
	b.add(0)
	b.noteHeadroom()
}

// take removes parts and the proportional tokens, which it returns.
func (b *bucket) take(parts int64) int64 {
	tokens := mulDiv(b.audit.Level, parts, b.parts)
	b.parts -= parts
	b.audit.Level -= tokens
	b.audit.Out += tokens
	b.add(0)
	b.noteHeadroom()
	return tokens
}

// put adds parts with their tokens. More tokens than the parts' own cap come from a larger burst than the
// one now in force, and expire.
func (b *bucket) put(parts, tokens int64) {
	b.parts += parts
	b.audit.In += tokens
	kept := min(tokens, mulDiv(b.burst, parts, ledger.TotalParts))
	b.audit.Expired += tokens - kept
	b.add(kept)
	b.noteHeadroom()
}

// drop gives up everything, when the membership has ended.
func (b *bucket) drop() {
	b.parts = 0
	b.audit.Lost += b.audit.Level
	b.audit.Level, b.remainder = 0, 0
	b.noteHeadroom()
}
