package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// MaxKeyBytes is the longest Idempotency-Key that is accepted.
const MaxKeyBytes = 255

// ageMarginDivisor sets the margin between the oldest accepted key and the retention: a tenth.
const ageMarginDivisor = 10

// KeyRule decides which Idempotency-Keys are accepted. The creation time bounds how long a key can be
// in use, so that no key outlives the records about it.
type KeyRule struct {
	// Retention is how long the log keeps the records of the stream.
	Retention time.Duration
	// FutureSkew is how far a creation time may lie ahead of the clock that checks it. It must be
	// less than a tenth of Retention: otherwise a key could be accepted after its first intent
	// expired.
	FutureSkew time.Duration
}

// Valid reports whether no accepted key can outlive its first intent.
func (r KeyRule) Valid() bool {
	return r.Retention > 0 && r.FutureSkew >= 0 && r.FutureSkew < r.Retention/ageMarginDivisor
}

// MaxAge returns the age from which a key is refused.
func (r KeyRule) MaxAge() time.Duration { return r.Retention - r.Retention/ageMarginDivisor }

// CreationTime returns the creation time of a key: the time in createdHeader (RFC 3339) or, without one,
// the time in a UUIDv7. The error is a not-run *verdict.Error.
func CreationTime(key, createdHeader string) (time.Time, error) {
	if key == "" {
		return time.Time{}, refuse("idempotency_key_missing", "the route needs an Idempotency-Key")
	}
	if len(key) > MaxKeyBytes {
		return time.Time{}, refuse("idempotency_key_invalid", "the Idempotency-Key is longer than 255 bytes")
	}
	for i := range len(key) {
		if key[i] < '!' || key[i] > '~' {
			return time.Time{}, refuse("idempotency_key_invalid", "the Idempotency-Key has bytes that are not visible ASCII")
		}
	}
	if createdHeader != "" {
		t, err := time.Parse(time.RFC3339, createdHeader)
		if err != nil {
			return time.Time{}, refuse("idempotency_key_invalid", "Idempotency-Key-Created is not an RFC 3339 time")
		}
		return t, nil
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, refuse("idempotency_key_invalid",
			"the Idempotency-Key is not a UUIDv7 and Idempotency-Key-Created is missing")
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// Check refuses a key that is too old or lies too far ahead of now. The fold repeats the check with
// the log's time, which decides; this one refuses early.
func (r KeyRule) Check(created, now time.Time) error {
	age := now.Sub(created)
	if age > r.MaxAge() {
		return refuse("idempotency_key_expired", "the Idempotency-Key is too old: its records may have expired")
	}
	if age < -r.FutureSkew {
		return refuse("idempotency_key_invalid", "the creation time of the Idempotency-Key is in the future")
	}
	return nil
}

// Hash returns the stored form of a key or of a body.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func refuse(code, message string) error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, code, message)
}
