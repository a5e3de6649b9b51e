// Package frame encodes and decodes the frames of a link. Each message on the
// link's connection is a CBOR sequence (RFC 8742) of frames. A frame is an
// array of six items, followed by a payload of the length given in the array.
package frame

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
)

// The kinds of frames. Those up to Void are numbered and resent after a
// reconnect; the others apply to a single connection.
const (
	// Open starts a stream; Method is set and the payload is the request.
	Open uint8 = iota + 1
	// Data carries one message of a stream.
	Data
	// End marks the end of the sender's messages on a stream.
	End
	// Fault ends a stream with a CBOR boragewick.Fault as payload.
	Fault
	// Cancel informs the handler that the opener has abandoned the stream.
	Cancel
	// Credit lets the receiver of the frame send Value more bytes.
	Credit
	// Void replaces a frame that was withdrawn before it was sent, under the
	// same number.
	Void
	// Ack acknowledges all frames up to number Value.
	Ack
	// Ping requests a Pong.
	Ping
	// Pong answers a Ping.
	Pong
	// Bye ends all streams, with a CBOR boragewick.Fault as payload.
	Bye
)

// maxMethodBytes is the maximum length of a method name.
const maxMethodBytes = 128

// Frame is one frame without its payload.
type Frame struct {
	_      struct{} `cbor:",toarray"`
	Kind   uint8
	Number uint64
	Stream uint64
	Value  uint64
	Method string
	Size   uint64
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// mustEncoder returns the encoding mode for everything sent over a link.
func mustEncoder() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// mustDecoder returns the decoding mode for everything received over a link. Like the
// encoder, it takes texts with any bytes, so that one text doesn't make a whole message
// unreadable.
func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  32,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		UTF8:             cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode appends the CBOR form of v to the buffer.
func Encode(buf *bytes.Buffer, v any) error {
	return errors.Wrap(encoder.MarshalToBuffer(v, buf), "encode")
}

// Decode decodes the CBOR item b into v. The error is ErrProtocol.
func Decode(b []byte, v any) error {
	if err := decoder.Unmarshal(b, v); err != nil {
		return errors.Mark(errors.Wrap(err, "decode"), boragewick.ErrProtocol)
	}
	return nil
}

// Write appends the frame and its payload to the buffer.
func (f *Frame) Write(buf *bytes.Buffer, payload []byte) error {
	f.Size = uint64(len(payload))
	if err := Encode(buf, f); err != nil {
		return err
	}
	_, _ = buf.Write(payload)
	return nil
}

// Read decodes the first frame of b. It returns the frame's payload, which
// aliases b, and the bytes after it. The error is ErrProtocol.
func (f *Frame) Read(b []byte) (payload, rest []byte, err error) {
	*f = Frame{}
	rest, err = decoder.UnmarshalFirst(b, f)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrap(err, "decode frame"), boragewick.ErrProtocol)
	}
	if f.Kind < Open || f.Kind > Bye || len(f.Method) > maxMethodBytes {
		return nil, nil, errors.Wrapf(boragewick.ErrProtocol, "frame of kind %d with a method of %d bytes", f.Kind, len(f.Method))
	}
	if f.Size > uint64(len(rest)) {
		return nil, nil, errors.Wrapf(boragewick.ErrProtocol, "payload of %d bytes in %d", f.Size, len(rest))
	}
	return rest[:f.Size], rest[f.Size:], nil
}

// Numbered reports whether frames of this kind are numbered and resent.
func (f *Frame) Numbered() bool { return f.Kind <= Void }
