package session_test

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick/frame"
	"github.com/boragewick/boragewick/greeting"
	"github.com/boragewick/boragewick/session"
)

// script is a connection that brings one message and takes all.
type script struct {
	message []byte
	read    bool
}

// ReadMessage returns the message once.
func (s *script) ReadMessage() ([]byte, error) {
	if s.read {
		return nil, io.EOF
	}
	s.read = true
	return s.message, nil
}

// WriteMessage takes the message.
func (s *script) WriteMessage([]byte) error { return nil }

// RemoteName returns "".
func (s *script) RemoteName() string { return "" }

// Close does nothing.
func (s *script) Close() error { return nil }

// FuzzRun gives sessions of both kinds any message. None may panic, and
// sessions take in no more than their bounds allow.
func FuzzRun(f *testing.F) {
	open := frame.Frame{Kind: frame.Open, Number: 1, Stream: 1, Method: "m"}
	for kind := frame.Open; kind <= frame.Bye; kind++ {
		var buf bytes.Buffer
		next := frame.Frame{Kind: kind, Number: 2, Stream: 1, Value: 1}
		if err := errors.CombineErrors(open.Write(&buf, blob), next.Write(&buf, []byte{0xa0})); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes(), kind%2 == 0)
	}
	f.Fuzz(func(t *testing.T, b []byte, dialler bool) {
		accept := session.Accept(stuck)
		if dialler {
			accept = nil
		}
		s := session.New(context.Background(), bounds, greeting.Greeting{WindowBytes: 100, MaxMessageBytes: 1000}, accept)
		defer s.End(io.EOF)
		if dialler {
			if _, err := s.Open(context.Background(), "m", 1); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Run(&script{message: b}, 0); err == nil {
			t.Error("the connection ended without an error")
		}
		if n := s.Streams(); n > bounds.MaxStreams {
			t.Errorf("%d streams", n)
		}
	})
}
