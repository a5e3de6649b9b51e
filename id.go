package boragewick

import (
	"crypto/rand"
	"encoding/base32"
	"strings"
)

// idBytes is the number of random bytes in an ID.
const idBytes = 10

// ID identifies one object permanently. It is the object's kind, an underscore
// and 16 lower-case base32 digits.
type ID string

// NewID returns a random ID for an object of the kind.
func NewID(kind Kind) ID {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return ID(string(kind) + "_" + strings.ToLower(base32.StdEncoding.EncodeToString(b[:])))
}

// Kind returns the kind in the ID.
func (id ID) Kind() Kind {
	kind, _, _ := strings.Cut(string(id), "_")
	return Kind(kind)
}

// RequestID identifies one request of a caller on every hop and in every log line.
type RequestID string

// NewRequestID returns a random RequestID.
func NewRequestID() RequestID {
	return RequestID(NewID("req"))
}

// Incarnation distinguishes a run of a process from later runs at the same
// address.
type Incarnation string

// NewIncarnation returns a random Incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(NewID("inc"))
}
