package retry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
)

// Fingerprint recognises a request that is sent again. It is a hash of caller, adapter, target and body.
type Fingerprint [sha256.Size]byte

// NewFingerprint hashes a request. The caller is a workspace, or a caller in it; the target is the path, or what else says
// what is asked for. Each field is prefixed with its length, so that bytes moved from one field to the next give another hash.
func NewFingerprint(caller string, a adapter.Ref, target string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	writeField := func(b []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		// hash.Hash documents that Write never returns an error.
		_, _ = h.Write(length[:])
		_, _ = h.Write(b)
	}
	writeField([]byte(caller))
	writeField([]byte(a.Name))
	writeField([]byte(a.Version))
	writeField([]byte(target))
	writeField(body)
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
