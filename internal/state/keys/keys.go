// Package keys generates the keys of callers and verifies them against stored hashes.
//
// A key is "tw_" + ID + "_" + random digits. The ID is public and identifies the stored record. Only the SHA-256 hash
// of the whole key is stored, and hashes are compared in constant time.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/gravitational/trace"
)

const (
	prefix      = "tw_"
	idBytes     = 8
	secretBytes = 24
)

// Key is a newly generated key. Secret is shown to the operator once and never stored.
type Key struct {
	// ID is the public identifier of 16 hexadecimal digits.
	ID string
	// Secret is the whole key, which callers send as a bearer token.
	Secret string
	// Hash is the SHA-256 hash of Secret in hexadecimal.
	Hash string
}

// Generate returns a new key of random digits from crypto/rand.
func Generate() (Key, error) {
	var b [idBytes + secretBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return Key{}, trace.Wrap(err, "reading random bytes")
	}
	id := hex.EncodeToString(b[:idBytes])
	secret := prefix + id + "_" + hex.EncodeToString(b[idBytes:])
	return Key{ID: id, Secret: secret, Hash: Hash(secret)}, nil
}

// Hash returns the SHA-256 hash of a secret in hexadecimal, the form in which it is stored.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// ID returns the public identifier in a secret, and whether the secret has the form of a key.
func ID(secret string) (string, bool) {
	rest, ok := strings.CutPrefix(secret, prefix)
	if !ok {
		return "", false
	}
	id, random, ok := strings.Cut(rest, "_")
	if !ok || len(id) != 2*idBytes || len(random) != 2*secretBytes {
		return "", false
	}
	return id, true
}

// Match reports whether the secret has the given hash. It compares in constant time.
func Match(secret, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(Hash(secret)), []byte(hash)) == 1
}
