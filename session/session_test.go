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

// smallSettings has limits low enough for tests to reach them.
var smallSettings = boragewick.LinkSettings{
	MaxMessageBytes: 1000,
	WindowBytes:     100,
	MaxUnackedBytes: 4000,
	MaxStreams:      4,
}

// harness is a session with the test as its remote.
type harness struct {
	t    *testing.T
	net  *memconn.Network
	sess *session.Session
	// conn is the test's end of the connection, frames the frames read from it
	// and runErr the result of Session.Run.
	conn       boragewick.Conn
	frames     chan testFrame
	runErr     chan error
	lastNumber uint64
}

// testFrame is a frame with its payload.
type testFrame struct {
	frame.Frame
	payload []byte
}

// newHarness starts a session that is connected to the test.
func newHarness(t *testing.T, accept session.AcceptFunc) *harness {
	return newHarnessWith(t, smallSettings, accept)
}

// newHarnessWith starts a session with the settings.
func newHarnessWith(t *testing.T, cfg boragewick.LinkSettings, accept session.AcceptFunc) *harness {
	remote := greeting.Greeting{WindowBytes: 100, MaxMessageBytes: 1000}
	s := &harness{t: t, net: &memconn.Network{}, sess: session.New(context.Background(), cfg, remote, accept)}
	s.connect(0)
	return s
}

// connect gives the session a new connection on which the remote acknowledges
// the frames up to number acked.
func (s *harness) connect(acked uint64) {
	s.runErr = make(chan error, 1)
	s.frames = make(chan testFrame, 1000)
	runErr := s.runErr
	s.net.Listen(addr, func(c boragewick.Conn) error {
		runErr <- s.sess.Run(c, acked)
		return nil
	})
	conn, err := s.net.Dial(s.t.Context(), addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.conn = conn
	go s.readAll(conn, s.frames)
}

// disconnect closes the connection and waits until Session.Run has returned.
func (s *harness) disconnect() {
	s.net.CloseAll()
	if err := <-s.runErr; err == nil {
		s.t.Error("Run returned no error for a closed connection")
	}
}

// readAll forwards the session's frames to the channel.
func (s *harness) readAll(conn boragewick.Conn, frames chan<- testFrame) {
	defer close(frames)
	for {
		b, err := conn.ReadMessage()
		for len(b) > 0 && err == nil {
			var r testFrame
			r.payload, b, err = r.Read(b)
			frames <- r
		}
		if err != nil {
			return
		}
	}
}

// writeFrames sends the frames in one message, with the numbers that they have.
func (s *harness) writeFrames(frames ...testFrame) {
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

// sendNumbered sends a frame under the next number.
func (s *harness) sendNumbered(kind uint8, stream, value uint64, payload []byte) {
	s.lastNumber++
	s.writeFrames(testFrame{frame.Frame{Kind: kind, Number: s.lastNumber, Stream: stream, Value: value, Method: "m"}, payload})
}

// awaitFrame returns the session's next frame of the kind and skips others.
func (s *harness) awaitFrame(kind uint8) testFrame {
	for f := range s.frames {
		if f.Kind == kind {
			return f
		}
	}
	s.t.Fatalf("no frame of kind %d", kind)
	return testFrame{}
}

// close ends the session and its connection.
func (s *harness) close() {
	s.sess.End(errors.New("test over"))
	s.net.CloseAll()
}

// acceptBlocking accepts streams with a handler that reads nothing and blocks
// until its context is done.
func acceptBlocking(string) (boragewick.Handler, error) {
	return boragewick.HandlerFunc(func(ctx context.Context, _ boragewick.Stream) error {
		<-ctx.Done()
		return ctx.Err()
	}), nil
}

// acceptReturning accepts streams with a handler that returns at once.
func acceptReturning(string) (boragewick.Handler, error) {
	return boragewick.HandlerFunc(func(context.Context, boragewick.Stream) error { return nil }), nil
}

// blob is a CBOR byte string of about 60 bytes.
var blob = append([]byte{0x58, 60}, make([]byte, 60)...)

func TestPeerMisbehaviourEndsSession(t *testing.T) {
	tests := map[string]struct {
		accept session.AcceptFunc
		act    func(s *harness)
		want   error
	}{
		"credit exceeded": {acceptBlocking, func(s *harness) {
			s.sendNumbered(frame.Open, 1, 0, blob)
			s.sendNumbered(frame.Data, 1, 0, blob)
			s.sendNumbered(frame.Data, 1, 0, blob)
			s.sendNumbered(frame.Data, 1, 0, blob)
		}, boragewick.ErrProtocol},
		"message too long": {acceptBlocking, func(s *harness) { s.sendNumbered(frame.Open, 1, 0, make([]byte, 1001)) }, boragewick.ErrProtocol},
		"data after end": {acceptBlocking, func(s *harness) {
			s.sendNumbered(frame.Open, 1, 0, blob)
			s.sendNumbered(frame.End, 1, 0, nil)
			s.sendNumbered(frame.Data, 1, 0, blob)
		}, boragewick.ErrProtocol},
		"stream opened twice": {acceptReturning, func(s *harness) {
			s.sendNumbered(frame.Open, 1, 0, blob)
			s.sendNumbered(frame.Open, 1, 0, blob)
		}, boragewick.ErrProtocol},
		"open to a dialler": {nil, func(s *harness) { s.sendNumbered(frame.Open, 1, 0, blob) }, boragewick.ErrProtocol},
		"cancel by the handler": {nil, func(s *harness) {
			if _, err := s.sess.Open(context.Background(), "m", 1); err != nil {
				s.t.Error(err)
			}
			s.sendNumbered(frame.Cancel, 1, 0, nil)
		}, boragewick.ErrProtocol},
		"fault of the opener": {acceptBlocking, func(s *harness) {
			s.sendNumbered(frame.Open, 1, 0, blob)
			s.sendNumbered(frame.Fault, 1, 0, []byte{0xa0})
		}, boragewick.ErrProtocol},
		"ack of a frame not sent": {acceptReturning, func(s *harness) { s.writeFrames(testFrame{frame.Frame{Kind: frame.Ack, Value: 9}, nil}) }, boragewick.ErrProtocol},
		"huge credit": {acceptBlocking, func(s *harness) {
			s.sendNumbered(frame.Open, 1, 0, blob)
			s.sendNumbered(frame.Credit, 1, 1<<62, nil)
		}, boragewick.ErrProtocol},
		"unknown kind": {acceptReturning, func(s *harness) { s.writeFrames(testFrame{frame.Frame{Kind: 99}, nil}) }, boragewick.ErrProtocol},
		"not a frame": {acceptReturning, func(s *harness) {
			_ = s.conn.WriteMessage([]byte("hello"))
		}, boragewick.ErrProtocol},
		"never acknowledges": {acceptReturning, func(s *harness) {
			for i := range uint64(100) {
				s.sendNumbered(frame.Open, i+1, 0, blob)
				synctest.Wait()
			}
		}, boragewick.ErrLinkLost},
		"sends Bye": {acceptReturning, func(s *harness) {
			var buf bytes.Buffer
			_ = frame.Encode(&buf, boragewick.FaultOf(boragewick.ErrDraining))
			s.writeFrames(testFrame{frame.Frame{Kind: frame.Bye}, buf.Bytes()})
		}, boragewick.ErrDraining},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, tt.accept)
				defer s.close()
				tt.act(s)
				synctest.Wait()
				if err := s.sess.Err(); !errors.Is(err, tt.want) {
					t.Fatalf("session's error %v, want %v", err, tt.want)
				}
				if errors.Is(tt.want, boragewick.ErrDraining) {
					return
				}
				var fault boragewick.Fault
				if err := frame.Decode(s.awaitFrame(frame.Bye).payload, &fault); err != nil || !errors.Is(fault.Err(), tt.want) {
					t.Errorf("the Bye frame carries %+v, decode error %v", fault, err)
				}
			})
		})
	}
}

func TestStreamLimitRefusesOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(t, acceptBlocking)
		defer s.close()
		for i := range uint64(smallSettings.MaxStreams + 1) {
			s.sendNumbered(frame.Open, i+1, 0, blob)
		}
		f := s.awaitFrame(frame.Fault)
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
		s := newHarness(t, nil)
		defer s.close()
		st, err := s.sess.Open(t.Context(), "m", 1)
		if err != nil {
			t.Fatal(err)
		}
		s.awaitFrame(frame.Open)
		one := testFrame{frame.Frame{Kind: frame.Data, Number: 1, Stream: 1}, []byte{1}}
		two := testFrame{frame.Frame{Kind: frame.Data, Number: 2, Stream: 1}, []byte{2}}
		end := testFrame{frame.Frame{Kind: frame.End, Number: 3, Stream: 1}, nil}
		s.writeFrames(one, one, two, one, two, end, end, two)
		for want := 1; want <= 2; want++ {
			var got int
			if err := st.Recv(t.Context(), &got); err != nil || got != want {
				t.Fatalf("got %d, error %v, want %d", got, err, want)
			}
		}
		if err := st.Recv(t.Context(), new(int)); !errors.Is(err, io.EOF) {
			t.Errorf("after the End frame: error %v", err)
		}
	})
}

func TestFrameGapClosesConnectionOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(t, acceptReturning)
		defer s.close()
		s.lastNumber = 1
		s.sendNumbered(frame.Open, 1, 0, blob)
		if err := <-s.runErr; !errors.Is(err, boragewick.ErrLinkLost) || s.sess.Err() != nil {
			t.Fatalf("connection's error %v, session's %v", err, s.sess.Err())
		}
		s.connect(0)
		s.lastNumber = 0
		s.sendNumbered(frame.Open, 1, 0, blob)
		s.awaitFrame(frame.End)
	})
}

func TestUnackedFramesAreResent(t *testing.T) {
	tests := map[string]struct {
		acked uint64
		want  []uint64
	}{
		"nothing arrived": {0, []uint64{1, 2, 3}},
		"one arrived":     {1, []uint64{2, 3}},
		"all arrived":     {3, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, nil)
				defer s.close()
				for range 3 {
					if _, err := s.sess.Open(t.Context(), "m", 1); err != nil {
						t.Fatal(err)
					}
				}
				synctest.Wait()
				s.disconnect()
				s.connect(tt.acked)
				synctest.Wait()
				s.net.CloseAll()
				var got []uint64
				for f := range s.frames {
					got = append(got, f.Number)
				}
				if len(got) != len(tt.want) || len(got) > 0 && got[0] != tt.want[0] {
					t.Errorf("resent frames %v, want %v", got, tt.want)
				}
			})
		})
	}
}

func TestOnlyUnsentStreamsAreMarkedNotRun(t *testing.T) {
	tests := map[string]struct {
		sent     bool
		timesOut bool
		want     error
		notRun   bool
	}{
		"link lost before sending": {want: boragewick.ErrLinkLost, notRun: true},
		"link lost after sending":  {sent: true, want: boragewick.ErrLinkLost},
		"timed out before sending": {timesOut: true, want: boragewick.ErrTimeout, notRun: true},
		"timed out after sending":  {sent: true, timesOut: true, want: boragewick.ErrTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newHarness(t, nil)
				defer s.close()
				if !tt.sent {
					s.disconnect()
				}
				timeout := time.Hour
				if tt.timesOut {
					timeout = time.Second
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				st, err := s.sess.Open(ctx, "m", 1)
				if err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				s.net.CloseAll()
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
		s := newHarness(t, nil)
		defer s.close()
		s.disconnect()
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
			t.Errorf("got frame %+v, want a Void in place of the Open frame", f.Frame)
		}
	})
}
