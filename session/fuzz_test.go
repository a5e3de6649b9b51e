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

// oneMessageConn is a connection that delivers one message and discards what is
// written to it.
type oneMessageConn struct {
	message []byte
	read    bool
}

// ReadMessage returns the message once.
func (c *oneMessageConn) ReadMessage() ([]byte, error) {
	if c.read {
		return nil, io.EOF
	}
	c.read = true
	return c.message, nil
}

// WriteMessage discards the message.
func (c *oneMessageConn) WriteMessage([]byte) error { return nil }

// RemoteName returns "".
func (c *oneMessageConn) RemoteName() string { return "" }

// Close does nothing.
func (c *oneMessageConn) Close() error { return nil }

// FuzzRun passes arbitrary messages to sessions of the dialling and of the
// accepting side. They must not panic or open more streams than allowed.
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
		accept := session.AcceptFunc(acceptBlocking)
		if dialler {
			accept = nil
		}
		s := session.New(context.Background(), smallSettings, greeting.Greeting{WindowBytes: 100, MaxMessageBytes: 1000}, accept)
		defer s.End(io.EOF)
		if dialler {
			if _, err := s.Open(context.Background(), "m", 1); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Run(&oneMessageConn{message: b}, 0); err == nil {
			t.Error("the connection ended without an error")
		}
		if n := s.Streams(); n > smallSettings.MaxStreams {
			t.Errorf("%d streams", n)
		}
	})
}
