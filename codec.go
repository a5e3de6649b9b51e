package boragewick

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// encoding is deterministic CBOR (RFC 8949, section 4.2) with times to the nanosecond.
// decoding reads all that it writes.
var (
	encoding = mustEncMode()
	decoding = mustDecMode()
)

// maxItems is the number of elements of one array or map.
const maxItems = 1 << 20

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxItems, MaxMapPairs: maxItems, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns v as CBOR. Equal values have equal encodings.
func Encode(v any) ([]byte, error) {
	return encoding.Marshal(v)
}

// Decode decodes one CBOR value into v. The error is ErrMalformed.
func Decode(b []byte, v any) error {
	if err := decoding.Unmarshal(b, v); err != nil {
		return errors.Wrapf(ErrMalformed, "%s", err)
	}
	return nil
}
