package retry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Fingerprint identifies a request that is sent again: a hash of workspace, adapter, path and body.
type Fingerprint [sha256.Size]byte

// NewFingerprint hashes a request. Each part is preceded by its length, so that parts cannot be
// shifted into each other.
func NewFingerprint(workspace string, a adapter.Ref, path string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	part := func(b []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		// Write never fails, by the documentation of hash.Hash.
		_, _ = h.Write(length[:])
		_, _ = h.Write(b)
	}
	part([]byte(workspace))
	part([]byte(a.Name))
	part([]byte(a.Version))
	part([]byte(path))
	part(body)
	return Fingerprint(h.Sum(nil))
}

// String returns the hash in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, f[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(f) {
		return errFingerprint
	}
	copy(f[:], b)
	return nil
}
