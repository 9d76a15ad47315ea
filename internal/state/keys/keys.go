// Package keys makes callers' keys and checks them against stored hashes.
//
// A key is "tw_" + id + "_" + secret. The id is public and finds the stored record; the secret is
// compared as a SHA-256 hash in constant time. Only the hash is stored.
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

// Key is a newly made key. Secret is shown to the operator once and never stored.
type Key struct {
	// ID is the public identifier, 16 hexadecimal digits.
	ID string
	// Secret is the whole string that callers send as a bearer token.
	Secret string
	// Hash is the SHA-256 of Secret, in hexadecimal.
	Hash string
}

// Generate makes a key from crypto/rand.
func Generate() (Key, error) {
	var b [idBytes + secretBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return Key{}, trace.Wrap(err, "reading random bytes")
	}
	id := hex.EncodeToString(b[:idBytes])
	secret := prefix + id + "_" + hex.EncodeToString(b[idBytes:])
	return Key{ID: id, Secret: secret, Hash: Hash(secret)}, nil
}

// Hash returns the stored form of a secret.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// ID returns the public identifier within a secret, and whether the secret has the form of a key.
func ID(secret string) (string, bool) {
	rest, ok := strings.CutPrefix(secret, prefix)
	if !ok {
		return "", false
	}
	id, tail, ok := strings.Cut(rest, "_")
	if !ok || len(id) != 2*idBytes || len(tail) != 2*secretBytes {
		return "", false
	}
	return id, true
}

// Match reports whether secret has the given hash, in constant time.
func Match(secret, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(Hash(secret)), []byte(hash)) == 1
}
