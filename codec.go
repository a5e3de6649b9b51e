package boragewick

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// encoding is deterministic CBOR (RFC 8949, section 4.2) with times to the nanosecond.
var encoding = mustEncMode()

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
	if err := cbor.Unmarshal(b, v); err != nil {
		return errors.Wrapf(ErrMalformed, "%s", err)
	}
	return nil
}
