package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/turmericworks/turmericworks/internal/state/verdict"
)

// MaxKeyBytes is the length of the longest Idempotency-Key that is accepted.
const MaxKeyBytes = 255

// ageMarginDivisor sets the margin by which a key is refused before its records expire: a tenth of the retention.
const ageMarginDivisor = 10

// KeyRule decides which Idempotency-Keys are accepted. It bounds the age of a key, so that no key is accepted after its
// records have expired.
type KeyRule struct {
	// Retention is how long the log keeps the records of the stream.
	Retention time.Duration
	// FutureSkew is how far a creation time may be ahead of the clock that checks it. It must be less than a tenth
	// of Retention, since otherwise a key could be accepted after its first intent expired.
	FutureSkew time.Duration
}

// Valid reports whether the rule refuses each key before its first intent expires.
func (r KeyRule) Valid() bool {
	return r.Retention > 0 && r.FutureSkew >= 0 && r.FutureSkew < r.Retention/ageMarginDivisor
}

// MaxAge returns the age above which a key is refused.
func (r KeyRule) MaxAge() time.Duration { return r.Retention - r.Retention/ageMarginDivisor }

// CreationTime returns the creation time of a key: the time in createdHeader (RFC 3339) or, if that is empty, the
// time in the key, which must be a UUIDv7. The error is a *verdict.Error with the verdict not-run.
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

// Check refuses a key whose creation time is too old or too far ahead of now. The fold checks again by the log's clock,
// and that check decides; a check before the append only refuses a key earlier.
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

// Hash returns the hash under which a key or a body is recorded: SHA-256 in hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func refuse(code, message string) error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, code, message)
}
