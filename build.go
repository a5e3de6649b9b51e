package boragewick

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// Build identifies the software of an endpoint: its pool and the version of its software.
// Streams and cached parts of two builds don't fit together. Zero is unknown.
type Build uint64

// NewBuild returns the Build of a version of the pool's software.
func NewBuild(pool, version string) Build {
	return max(1, Build(xxh3.HashString(pool+"\x00"+version)))
}

// String returns the number in hexadecimal digits.
func (b Build) String() string { return strconv.FormatUint(uint64(b), 16) }

// BuildChange changes the builds with which endpoints of a pool may serve.
type BuildChange struct {
	Pool    string  `cbor:"1,keyasint"`
	Added   []Build `cbor:"2,keyasint,omitempty"`
	Removed []Build `cbor:"3,keyasint,omitempty"`
}
