package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
)

// A record consists of a header and a CBOR payload. The header holds a marker
// (the first bytes of the file's salt), the length of the payload and a CRC-32C
// of the salt, the length and the payload.
const (
	markerBytes = 4
	lengthBytes = 4
	headerBytes = 12
	saltBytes   = 16
	// maxRecordBytes is the maximum size of a payload.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// salt prevents bytes of a stored command from being mistaken for a record of
// the file.
type salt [saltBytes]byte

// record is what one Save appends to the log.
type record struct {
	Hard    *boragewick.HardState `cbor:"hard,omitempty"`
	Entries []boragewick.LogEntry `cbor:"entries,omitempty"`
	// Base discards all earlier entries; the next entry follows it.
	Base *boragewick.Revision `cbor:"base,omitempty"`
}

// errTorn is returned for bytes that do not hold a complete, undamaged record.
var errTorn = errors.New("incomplete or damaged record")

// checksum returns the CRC of a record with this length field and payload.
func checksum(s salt, length, payload []byte) uint32 {
	sum := crc32.Update(0, castagnoli, s[:])
	sum = crc32.Update(sum, castagnoli, length)
	return crc32.Update(sum, castagnoli, payload)
}

// appendRecord appends v to b as a record.
func appendRecord(b []byte, s salt, v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(payload) > maxRecordBytes {
		return nil, errors.Wrapf(boragewick.ErrTooLarge, "record of %d bytes", len(payload))
	}
	return appendFrame(b, s, payload), nil
}

// appendFrame appends the payload to b, preceded by its header.
func appendFrame(b []byte, s salt, payload []byte) []byte {
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(payload)))
	b = append(b, s[:markerBytes]...)
	b = append(b, length[:]...)
	b = binary.BigEndian.AppendUint32(b, checksum(s, length[:], payload))
	return append(b, payload...)
}

// framePayload returns the payload of the record at the start of b.
func framePayload(b []byte, s salt) ([]byte, error) {
	if len(b) < headerBytes || !bytes.HasPrefix(b, s[:markerBytes]) {
		return nil, errTorn
	}
	lengthField := b[markerBytes : markerBytes+lengthBytes]
	length := int(binary.BigEndian.Uint32(lengthField))
	if length > maxRecordBytes || length > len(b)-headerBytes {
		return nil, errTorn
	}
	payload := b[headerBytes : headerBytes+length]
	sum := binary.BigEndian.Uint32(b[markerBytes+lengthBytes : headerBytes])
	if checksum(s, lengthField, payload) != sum {
		return nil, errTorn
	}
	return payload, nil
}

// decodeRecord decodes the record at the start of b into v and returns its
// length.
func decodeRecord(b []byte, s salt, v any) (int, error) {
	payload, err := framePayload(b, s)
	if err != nil {
		return 0, err
	}
	if err := cbor.Unmarshal(payload, v); err != nil {
		return 0, errors.Wrapf(boragewick.ErrCorrupt, "decode record: %v", err)
	}
	return headerBytes + len(payload), nil
}

// containsRecord reports whether a complete record starts anywhere in b.
func containsRecord(b []byte, s salt) bool {
	for {
		i := bytes.Index(b, s[:markerBytes])
		if i < 0 {
			return false
		}
		b = b[i:]
		if _, err := framePayload(b, s); err == nil {
			return true
		}
		b = b[1:]
	}
}
