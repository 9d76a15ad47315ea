package shares

import (
	"math/bits"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/ledger"
)

const (
	// Microtokens is the number of microtokens in a token.
	Microtokens int64 = 1_000_000
	// MaxMicrotokens is the largest rate per second and the largest burst: ten million tokens. Larger settings are
	// reduced to it, so that the products below fit in 128 bits.
	MaxMicrotokens = 10_000_000 * Microtokens
	// headroomSlotLength is the time resolution of the headroom history.
	headroomSlotLength = time.Second
	// headroomSlots is the length of the headroom history: 320 s, longer than the default request deadline of 300 s.
	// The unused tokens of a request that takes longer expire.
	headroomSlots = 320
	// accrualUnit is one microtoken, expressed in parts * microtokens/s * ns.
	accrualUnit = uint64(ledger.TotalParts) * uint64(time.Second)
)

// Audit accounts for every microtoken of one bucket since the bucket was created.
type Audit struct {
	// Sources: Granted is the initial burst of a new workspace, Accrued comes with time and TransferredIn with
	// transfers.
	Granted, Accrued, TransferredIn int64
	// Uses: Spent was charged to settled requests, Expired exceeded the capacity, TransferredOut left with transfers
	// and Lost was discarded when the membership ended.
	Spent, Expired, TransferredOut, Lost int64
	// Holdings: Reserved belongs to requests that are not settled yet, and Level is free.
	Reserved, Level int64
	// Returned is the unused part of settled reservations. What exceeded the capacity is also in Expired.
	Returned int64
}

// Discrepancy returns the sources minus uses and holdings. It is zero unless tokens were counted wrongly.
func (a Audit) Discrepancy() int64 {
	return a.Granted + a.Accrued + a.TransferredIn - a.Spent - a.Expired - a.TransferredOut - a.Lost - a.Reserved - a.Level
}

// bucket is a token bucket for the parts of a workspace's rate and burst that this instance holds.
type bucket struct {
	parts       int64
	rate, burst int64 // of the whole workspace, in microtokens per second and microtokens
	last        time.Duration
	started     bool
	remainder   uint64 // accrual below one microtoken, in 1/accrualUnit
	audit       Audit
	// headroom is the minimum of capacity minus level in each slot of the recent past, by slot number modulo
	// headroomSlots. The unused part of a reservation is returned only up to the smallest headroom since the
	// reservation: the excess would have expired if only the tokens used had been taken.
	headroom [headroomSlots]int64
	slot     int64
}

// mulDiv returns a*b/c rounded down. Either b <= c, or the quotient must be known to fit.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}

func (b *bucket) capacity() int64 { return mulDiv(b.burst, b.parts, ledger.TotalParts) }

// accrue adds the tokens that accrued until now. A time before that of the last call is ignored.
func (b *bucket) accrue(now time.Duration) {
	if !b.started {
		b.started, b.last, b.slot = true, now, int64(now/headroomSlotLength)
	}
	if now > b.last {
		// The limit of 10^6 s keeps the quotient below within 64 bits. That time fills every bucket.
		dt := min(now-b.last, 1_000_000*time.Second)
		hi, lo := bits.Mul64(uint64(b.parts)*uint64(b.rate), uint64(dt))
		lo, carry := bits.Add64(lo, b.remainder, 0)
		var q uint64
		q, b.remainder = bits.Div64(hi+carry, lo, accrualUnit)
		b.audit.Accrued += int64(q)
		b.addTokens(int64(q))
		b.last = now
	}
	b.recordHeadroom()
}

// addTokens adds tokens to the bucket. What exceeds the capacity expires.
func (b *bucket) addTokens(microtokens int64) {
	b.audit.Level += microtokens
	if excess := b.audit.Level - b.capacity(); excess >= 0 {
		b.audit.Level -= excess
		b.audit.Expired += excess
		b.remainder = 0
	}
}

// recordHeadroom records the headroom in the slot of the last accrual. Since the previous call the level has only risen,
// so the value is also a lower bound for the slots in between.
func (b *bucket) recordHeadroom() {
	h := b.capacity() - b.audit.Level
	current := int64(b.last / headroomSlotLength)
	for s := max(b.slot+1, current-headroomSlots+1); s <= current; s++ {
		b.headroom[s%headroomSlots] = h
	}
	b.slot = max(b.slot, current)
	i := b.slot % headroomSlots
	b.headroom[i] = min(b.headroom[i], h)
}

// reserve moves tokens from the level to the reservations. It reports false if there are too few.
func (b *bucket) reserve(microtokens int64) bool {
	if b.audit.Level < microtokens {
		return false
	}
	b.audit.Level -= microtokens
	b.audit.Reserved += microtokens
	return true
}

// settle ends a reservation that was made in the slot: it charges spent and returns the rest to the level, up to the
// smallest headroom since then.
func (b *bucket) settle(slot, reserved, spent int64) {
	unused := reserved - spent
	b.audit.Reserved -= reserved
	b.audit.Spent += spent
	b.audit.Returned += unused
	credit := unused
	if slot <= b.slot-headroomSlots {
		credit = 0
	}
	for s := slot; s <= b.slot && credit > 0; s++ {
		credit = min(credit, b.headroom[s%headroomSlots])
	}
	credit = max(credit, 0)
	for s := slot; s <= b.slot && credit > 0; s++ {
		b.headroom[s%headroomSlots] -= credit
	}
	b.audit.Level += credit
	b.audit.Expired += unused - credit
	b.recordHeadroom()
}

// configure changes the workspace's rate and burst.
func (b *bucket) configure(rate, burst int64) {
	b.rate = min(max(rate, 0), MaxMicrotokens)
	b.burst = min(max(burst, 0), MaxMicrotokens)
	b.addTokens(0)
	b.recordHeadroom()
}

// removeParts removes parts with a proportional number of tokens, which it returns.
func (b *bucket) removeParts(parts int64) int64 {
	tokens := mulDiv(b.audit.Level, parts, b.parts)
	b.parts -= parts
	b.audit.Level -= tokens
	b.audit.TransferredOut += tokens
	b.addTokens(0)
	b.recordHeadroom()
	return tokens
}

// addParts adds parts with their tokens. Tokens beyond the capacity of these parts come from a larger burst than the
// one now in force, and expire.
func (b *bucket) addParts(parts, tokens int64) {
	b.parts += parts
	b.audit.TransferredIn += tokens
	kept := min(tokens, mulDiv(b.burst, parts, ledger.TotalParts))
	b.audit.Expired += tokens - kept
	b.addTokens(kept)
	b.recordHeadroom()
}

// discard removes all parts and free tokens. It is for an instance whose membership has ended.
func (b *bucket) discard() {
	b.parts = 0
	b.audit.Lost += b.audit.Level
	b.audit.Level, b.remainder = 0, 0
	b.recordHeadroom()
}
