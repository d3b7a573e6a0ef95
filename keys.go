package burdockyard

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// KeyHash identifies an API key without revealing it. Keys themselves are hashed where
// they enter the process; they are neither kept nor logged nor sent to other nodes. The
// time of a look-up by hash tells nothing about how much of a key is right.
type KeyHash [16]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// ParseKeyHash parses what String returns. An error wraps ErrMalformed.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	if b, err := hex.DecodeString(text); err != nil || copy(h[:], b) != len(h) || len(b) != len(h) {
		return KeyHash{}, fmt.Errorf("%w: %q is not the hash of a key", ErrMalformed, text)
	}
	return h, nil
}
