package session_test

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/frame"
	"github.com/boragewick/boragewick/greeting"
	"github.com/boragewick/boragewick/memconn"
	"github.com/boragewick/boragewick/session"
)

var addr = netip.MustParseAddrPort("127.0.0.1:7000")

// bounds are small settings.
var bounds = boragewick.LinkSettings{
	MaxMessageBytes: 1000,
	WindowBytes:     100,
	KeptBytes:       4000,
	MaxStreams:      4,
}

// side is one session whose remote is played by the test.
type side struct {
	t    *testing.T
	net  *memconn.Network
	sess *session.Session
	// conn is the test's end of the connection and frames what it has read.
	conn   boragewick.Conn
	frames chan received
	ended  chan error
	number uint64
}

// received is a frame that the session has sent.
type received struct {
	frame.Frame
	payload []byte
}

// newSide runs a session over a connection to the test.
func newSide(t *testing.T, accept session.Accept) *side {
	remote := greeting.Greeting{WindowBytes: 100, MaxMessageBytes: 1000}
	s := &side{t: t, net: &memconn.Network{}, sess: session.New(context.Background(), bounds, remote, accept)}
	s.connect(0)
	return s
}

// connect gives the session a new connection.
func (s *side) connect(got uint64) {
	s.ended = make(chan error, 1)
	s.frames = make(chan received, 1000)
	ended := s.ended
	s.net.Listen(addr, func(c boragewick.Conn) error {
		ended <- s.sess.Run(c, got)
		return nil
	})
	conn, err := s.net.Dial(s.t.Context(), addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.conn = conn
	go s.readAll(conn, s.frames)
}

// cut closes the connection and waits until the session knows.
func (s *side) cut() {
	s.net.Cut()
	if err := <-s.ended; err == nil {
		s.t.Error("a cut connection ended well")
	}
}

// readAll passes on the session's frames.
func (s *side) readAll(conn boragewick.Conn, frames chan<- received) {
	defer close(frames)
	for {
		b, err := conn.ReadMessage()
		for len(b) > 0 && err == nil {
			var r received
			r.payload, b, err = r.Read(b)
			frames <- r
		}
		if err != nil {
			return
		}
	}
}

// write sends frames as they are.
func (s *side) write(frames ...received) {
	var buf bytes.Buffer
	for _, f := range frames {
		if err := f.Write(&buf, f.payload); err != nil {
			s.t.Fatal(err)
		}
	}
	if err := s.conn.WriteMessage(buf.Bytes()); err != nil {
		s.t.Logf("write: %v", err)
	}
}

// send sends a frame under the next number.
func (s *side) send(kind uint8, stream, value uint64, payload []byte) {
	s.number++
	s.write(received{frame.Frame{Kind: kind, Number: s.number, Stream: stream, Value: value, Method: "m"}, payload})
}

// await returns the session's next frame of the kind.
func (s *side) await(kind uint8) received {
	for f := range s.frames {
		if f.Kind == kind {
			return f
		}
	}
	s.t.Fatalf("no frame of kind %d", kind)
	return received{}
}

// close ends the goroutines.
func (s *side) close() {
	s.sess.End(errors.New("test over"))
	s.net.Cut()
}

// stuck accepts streams and never reads them.
func stuck(string) (boragewick.Handler, error) {
	return boragewick.HandlerFunc(func(ctx context.Context, _ boragewick.Stream) error {
		<-ctx.Done()
		return ctx.Err()
	}), nil
}

// quick accepts streams and ends them.
func quick(string) (boragewick.Handler, error) {
	return boragewick.HandlerFunc(func(context.Context, boragewick.Stream) error { return nil }), nil
}

// blob is a CBOR byte string of about 60 bytes.
var blob = append([]byte{0x58, 60}, make([]byte, 60)...)

func TestMisbehaviourEndsSession(t *testing.T) {
	tests := map[string]struct {
		accept session.Accept
		play   func(s *side)
		want   error
	}{
		"credit passed": {stuck, func(s *side) {
			s.send(frame.Open, 1, 0, blob)
			s.send(frame.Data, 1, 0, blob)
			s.send(frame.Data, 1, 0, blob)
			s.send(frame.Data, 1, 0, blob)
		}, boragewick.ErrProtocol},
		"message too long": {stuck, func(s *side) { s.send(frame.Open, 1, 0, make([]byte, 1001)) }, boragewick.ErrProtocol},
		"data after end": {stuck, func(s *side) {
			s.send(frame.Open, 1, 0, blob)
			s.send(frame.End, 1, 0, nil)
			s.send(frame.Data, 1, 0, blob)
		}, boragewick.ErrProtocol},
		"stream twice": {quick, func(s *side) {
			s.send(frame.Open, 1, 0, blob)
			s.send(frame.Open, 1, 0, blob)
		}, boragewick.ErrProtocol},
		"open to a dialler": {nil, func(s *side) { s.send(frame.Open, 1, 0, blob) }, boragewick.ErrProtocol},
		"cancel by the handler": {nil, func(s *side) {
			if _, err := s.sess.Open(context.Background(), "m", 1); err != nil {
				s.t.Error(err)
			}
			s.send(frame.Cancel, 1, 0, nil)
		}, boragewick.ErrProtocol},
		"fault of the opener": {stuck, func(s *side) {
			s.send(frame.Open, 1, 0, blob)
			s.send(frame.Fault, 1, 0, []byte{0xa0})
		}, boragewick.ErrProtocol},
		"ack of nothing": {quick, func(s *side) { s.write(received{frame.Frame{Kind: frame.Ack, Value: 9}, nil}) }, boragewick.ErrProtocol},
		"huge credit": {stuck, func(s *side) {
			s.send(frame.Open, 1, 0, blob)
			s.send(frame.Credit, 1, 1<<62, nil)
		}, boragewick.ErrProtocol},
		"unknown kind": {quick, func(s *side) { s.write(received{frame.Frame{Kind: 99}, nil}) }, boragewick.ErrProtocol},
		"no frame": {quick, func(s *side) {
			_ = s.conn.WriteMessage([]byte("hello"))
		}, boragewick.ErrProtocol},
		"never acknowledges": {quick, func(s *side) {
			for i := range uint64(100) {
				s.send(frame.Open, i+1, 0, blob)
				synctest.Wait()
			}
		}, boragewick.ErrLinkLost},
		"says goodbye": {quick, func(s *side) {
			var buf bytes.Buffer
			_ = frame.Encode(&buf, boragewick.FaultOf(boragewick.ErrDraining))
			s.write(received{frame.Frame{Kind: frame.Bye}, buf.Bytes()})
		}, boragewick.ErrDraining},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSide(t, tt.accept)
				defer s.close()
				tt.play(s)
				synctest.Wait()
				if err := s.sess.Err(); !errors.Is(err, tt.want) {
					t.Fatalf("session's error %v, want %v", err, tt.want)
				}
				if errors.Is(tt.want, boragewick.ErrDraining) {
					return
				}
				var fault boragewick.Fault
				if err := frame.Decode(s.await(frame.Bye).payload, &fault); err != nil || !errors.Is(fault.Err(), tt.want) {
					t.Errorf("the remote was told %+v, %v", fault, err)
				}
			})
		})
	}
}

func TestStreamRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSide(t, stuck)
		defer s.close()
		for i := range uint64(bounds.MaxStreams + 1) {
			s.send(frame.Open, i+1, 0, blob)
		}
		f := s.await(frame.Fault)
		var fault boragewick.Fault
		if err := frame.Decode(f.payload, &fault); err != nil {
			t.Fatal(err)
		}
		err := fault.Err()
		if f.Stream != 5 || !errors.Is(err, boragewick.ErrOverloaded) || !errors.Is(err, boragewick.ErrNotRun) {
			t.Errorf("stream %d: %v", f.Stream, err)
		}
	})
}

func TestDuplicatesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSide(t, nil)
		defer s.close()
		st, err := s.sess.Open(t.Context(), "m", 1)
		if err != nil {
			t.Fatal(err)
		}
		s.await(frame.Open)
		one := received{frame.Frame{Kind: frame.Data, Number: 1, Stream: 1}, []byte{1}}
		two := received{frame.Frame{Kind: frame.Data, Number: 2, Stream: 1}, []byte{2}}
		end := received{frame.Frame{Kind: frame.End, Number: 3, Stream: 1}, nil}
		s.write(one, one, two, one, two, end, end, two)
		for want := 1; want <= 2; want++ {
			var got int
			if err := st.Recv(t.Context(), &got); err != nil || got != want {
				t.Fatalf("got %d, error %v, want %d", got, err, want)
			}
		}
		if err := st.Recv(t.Context(), new(int)); !errors.Is(err, io.EOF) {
			t.Errorf("at the end: %v", err)
		}
	})
}

func TestGapClosesTheConnectionOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSide(t, quick)
		defer s.close()
		s.number = 1
		s.send(frame.Open, 1, 0, blob)
		if err := <-s.ended; !errors.Is(err, boragewick.ErrLinkLost) || s.sess.Err() != nil {
			t.Fatalf("connection's error %v, session's %v", err, s.sess.Err())
		}
		s.connect(0)
		s.number = 0
		s.send(frame.Open, 1, 0, blob)
		s.await(frame.End)
	})
}

func TestFramesAreSentAgain(t *testing.T) {
	tests := map[string]struct {
		got  uint64
		want []uint64
	}{
		"nothing arrived": {0, []uint64{1, 2, 3}},
		"one arrived":     {1, []uint64{2, 3}},
		"all arrived":     {3, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSide(t, nil)
				defer s.close()
				for range 3 {
					if _, err := s.sess.Open(t.Context(), "m", 1); err != nil {
						t.Fatal(err)
					}
				}
				synctest.Wait()
				s.cut()
				s.connect(tt.got)
				synctest.Wait()
				s.net.Cut()
				var got []uint64
				for f := range s.frames {
					got = append(got, f.Number)
				}
				if len(got) != len(tt.want) || len(got) > 0 && got[0] != tt.want[0] {
					t.Errorf("sent again %v, want %v", got, tt.want)
				}
			})
		})
	}
}

func TestUnsentStreamsDidNotRun(t *testing.T) {
	tests := map[string]struct {
		sent   bool
		leave  bool
		want   error
		notRun bool
	}{
		"lost before it was sent":     {want: boragewick.ErrLinkLost, notRun: true},
		"lost after it was sent":      {sent: true, want: boragewick.ErrLinkLost},
		"left before it was sent":     {leave: true, want: boragewick.ErrTimeout, notRun: true},
		"left after it had been sent": {sent: true, leave: true, want: boragewick.ErrTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSide(t, nil)
				defer s.close()
				if !tt.sent {
					s.cut()
				}
				within := time.Hour
				if tt.leave {
					within = time.Second
				}
				ctx, cancel := context.WithTimeout(t.Context(), within)
				defer cancel()
				st, err := s.sess.Open(ctx, "m", 1)
				if err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				s.net.Cut()
				err = st.Recv(ctx, new(int))
				if !errors.Is(err, tt.want) || errors.Is(err, boragewick.ErrNotRun) != tt.notRun {
					t.Errorf("error %v, not run %v", err, errors.Is(err, boragewick.ErrNotRun))
				}
			})
		})
	}
}

func TestWithdrawnStreamIsNeverOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSide(t, nil)
		defer s.close()
		s.cut()
		ctx, cancel := context.WithCancel(t.Context())
		st, err := s.sess.Open(ctx, "m", 1)
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		if err := st.Recv(ctx, new(int)); !errors.Is(err, boragewick.ErrNotRun) {
			t.Fatalf("error %v", err)
		}
		s.connect(0)
		if f := <-s.frames; f.Kind != frame.Void || f.Number != 1 {
			t.Errorf("frame %+v in place of the open", f.Frame)
		}
	})
}
