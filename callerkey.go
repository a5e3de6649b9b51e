package boragewick

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// callerKeyPrefix begins every caller's key.
	callerKeyPrefix = "bw_"
	// callerKeyBytes is the number of random bytes in a caller's key.
	callerKeyBytes = 32
)

// NewCallerKey returns a random key for a caller.
func NewCallerKey() string {
	var b [callerKeyBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return callerKeyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// KeyHasher hashes callers' keys with the deployment's secret (HMAC-SHA-256).
type KeyHasher struct {
	Secret []byte
}

// Hash returns the hash under which the key is stored. The error is
// ErrMalformedKey; its text does not contain the key.
func (h KeyHasher) Hash(key string) (KeyHash, error) {
	var sum KeyHash
	digits, ok := strings.CutPrefix(key, callerKeyPrefix)
	b, err := base64.RawURLEncoding.DecodeString(digits)
	if !ok || err != nil || len(b) != callerKeyBytes {
		return sum, errors.Wrap(ErrMalformedKey, "a key is bw_ and 43 base64 digits")
	}
	mac := hmac.New(sha256.New, h.Secret)
	mac.Write(b)
	mac.Sum(sum[:0])
	return sum, nil
}
