package boragewick

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// hashBytes is the length of an encoded block hash.
const hashBytes = 8

// BlockList is a list of block hashes whose text form is the base64 of the
// little-endian 64-bit hashes.
type BlockList []BlockHash

// MarshalText encodes the list.
func (l BlockList) MarshalText() ([]byte, error) {
	b := make([]byte, 0, len(l)*hashBytes)
	for _, h := range l {
		b = binary.LittleEndian.AppendUint64(b, uint64(h))
	}
	return base64.StdEncoding.AppendEncode(nil, b), nil
}

// UnmarshalText decodes a list. It returns ErrMalformed for anything that
// MarshalText does not produce.
func (l *BlockList) UnmarshalText(text []byte) error {
	b, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil {
		return errors.Wrapf(ErrMalformed, "block list: %v", err)
	}
	if len(b)%hashBytes != 0 {
		return errors.Wrapf(ErrMalformed, "block list of %d bytes", len(b))
	}
	*l = make(BlockList, 0, len(b)/hashBytes)
	for ; len(b) > 0; b = b[hashBytes:] {
		*l = append(*l, BlockHash(binary.LittleEndian.Uint64(b)))
	}
	return nil
}
