package session_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
)

// TestFaultTextIsReadable guards against fault texts that can't be decoded: cut inside a
// character, or with bytes that are no UTF-8.
func TestFaultTextIsReadable(t *testing.T) {
	texts := map[string]string{
		"long":          strings.Repeat("é", 3000),
		"long, shifted": "x" + strings.Repeat("é", 3000),
		"no UTF-8":      "endpoint i-\xff\xfe",
	}
	cfg := smallSettings
	cfg.MaxUnackedBytes = 64 << 10
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHarnessWith(t, cfg, func(string) (boragewick.Handler, error) {
					return boragewick.HandlerFunc(func(context.Context, boragewick.Stream) error {
						return errors.Wrap(boragewick.ErrUnknownObject, text)
					}), nil
				})
				defer s.close()
				s.sendNumbered(frame.Open, 1, 0, blob)
				var fault boragewick.Fault
				if err := frame.Decode(s.awaitFrame(frame.Fault).payload, &fault); err != nil {
					t.Fatal(err)
				}
				if !utf8.ValidString(fault.Message) || !errors.Is(fault.Err(), boragewick.ErrUnknownObject) {
					t.Errorf("fault %.60q, code %s", fault.Message, fault.Code)
				}
			})
		})
	}
}

// TestFaultEndsItsStreamOnly guards against a fault that can't be decoded and ends the
// session, with all its other streams.
func TestFaultEndsItsStreamOnly(t *testing.T) {
	var odd bytes.Buffer
	if err := frame.Encode(&odd, boragewick.Fault{Code: "malformed", Message: "i-\xff"}); err != nil {
		t.Fatal(err)
	}
	payloads := map[string][]byte{"no UTF-8": odd.Bytes(), "no CBOR": {0xff}, "another type": {0x01}, "empty": nil}
	for name, payload := range payloads {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, nil)
				defer s.close()
				faulty, err := s.sess.Open(t.Context(), "m", 1)
				if err != nil {
					t.Fatal(err)
				}
				other, err := s.sess.Open(t.Context(), "m", 1)
				if err != nil {
					t.Fatal(err)
				}
				s.sendNumbered(frame.Fault, 1, 0, payload)
				s.sendNumbered(frame.Data, 2, 0, blob)
				var got []byte
				if err := faulty.Recv(t.Context(), &got); err == nil {
					t.Error("no error on the stream with the fault")
				}
				if err := other.Recv(t.Context(), &got); err != nil {
					t.Errorf("the other stream ended: %v", err)
				}
			})
		})
	}
}
