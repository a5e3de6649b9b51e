package frame

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

func TestFrameSequenceRoundTrip(t *testing.T) {
	frames := []Frame{
		{Kind: Open, Number: 1, Stream: 3, Method: "probe"},
		{Kind: Data, Number: 1 << 40, Stream: 1 << 33},
		{Kind: Credit, Number: 3, Stream: 3, Value: 70000},
		{Kind: Ack, Value: 3},
		{Kind: Ping},
	}
	payloads := [][]byte{[]byte("request"), bytes.Repeat([]byte{7}, 5000), nil, nil, nil}
	var buf bytes.Buffer
	for i := range frames {
		if err := frames[i].Write(&buf, payloads[i]); err != nil {
			t.Fatal(err)
		}
	}
	rest := buf.Bytes()
	for i := range frames {
		var got Frame
		payload, r, err := got.Read(rest)
		if err != nil || got != frames[i] || !bytes.Equal(payload, payloads[i]) {
			t.Fatalf("frame %d: %+v, payload of %d bytes, error %v", i, got, len(payload), err)
		}
		rest = r
	}
	if len(rest) != 0 {
		t.Errorf("%d bytes remain after the last frame", len(rest))
	}
}

func TestMalformedFramesAreRejected(t *testing.T) {
	tests := map[string][]byte{
		"empty":           {},
		"not an array":    {0x01},
		"short array":     {0x82, 0x01, 0x02},
		"kind zero":       {0x86, 0x00, 0x00, 0x00, 0x00, 0x60, 0x00},
		"unknown kind":    {0x86, 0x18, 0x63, 0x00, 0x00, 0x00, 0x60, 0x00},
		"payload missing": {0x86, 0x02, 0x01, 0x01, 0x00, 0x60, 0x05, 0x01},
		"negative size":   {0x86, 0x02, 0x01, 0x01, 0x00, 0x60, 0x20},
		"huge size":       {0x86, 0x02, 0x01, 0x01, 0x00, 0x60, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"long method":     append([]byte{0x86, 0x01, 0x01, 0x01, 0x00, 0x78, 0xc8}, append(bytes.Repeat([]byte{'m'}, 200), 0)...),
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			var f Frame
			if _, _, err := f.Read(b); !errors.Is(err, boragewick.ErrProtocol) {
				t.Errorf("frame %+v, error %v", f, err)
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	for kind := Open; kind <= Bye; kind++ {
		fr := Frame{Kind: kind, Number: 1, Stream: 2, Value: 3, Method: "m"}
		if err := fr.Write(&buf, []byte{1, 2, 3}); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes()[:buf.Len()-int(kind)%3])
	}
	f.Add([]byte{0x9f, 0x02, 0x01, 0x01, 0x00, 0x60, 0x00, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got Frame
		payload, rest, err := got.Read(b)
		if err != nil {
			if !errors.Is(err, boragewick.ErrProtocol) {
				t.Fatalf("error %v", err)
			}
			return
		}
		if len(payload)+len(rest) >= len(b) || uint64(len(payload)) != got.Size {
			t.Fatalf("%d bytes decoded to a payload of %d bytes and %d remaining bytes", len(b), len(payload), len(rest))
		}
		var reencoded bytes.Buffer
		if err := got.Write(&reencoded, payload); err != nil {
			t.Fatal(err)
		}
		var decoded Frame
		if _, _, err := decoded.Read(reencoded.Bytes()); err != nil || decoded != got {
			t.Fatalf("encoded frame %+v decoded as %+v, error %v", got, decoded, err)
		}
	})
}
