package linkserver_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// The number of echo streams of a fault test and of the messages on each.
const (
	echoStreams  = 8
	echoMessages = 2000
)

// echoAll sends numbered messages on a stream and checks that all come back.
func echoAll(ctx context.Context, l boragewick.Peer, id int) error {
	st, err := l.Open(ctx, "echo", "0")
	for errors.Is(err, boragewick.ErrNotRun) {
		st, err = l.Open(ctx, "echo", "0")
	}
	if err != nil {
		return err
	}
	var sender sync.WaitGroup
	var sendErr error
	sender.Go(func() {
		for i := 1; i < echoMessages && sendErr == nil; i++ {
			sendErr = st.Send(ctx, fmt.Sprint(i))
		}
		sendErr = errors.CombineErrors(sendErr, st.(boragewick.HalfCloser).CloseSend())
	})
	for i := range echoMessages {
		var got string
		if err := st.Recv(ctx, &got); err != nil || got != fmt.Sprint(i) {
			return errors.Newf("stream %d, message %d: got %q, error %v", id, i, got, err)
		}
	}
	sender.Wait()
	if err := st.Recv(ctx, new(string)); !errors.Is(err, io.EOF) {
		return errors.Newf("stream %d after the end: %v", id, err)
	}
	return sendErr
}

func TestManyStreamsUnderSeededFaults(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{WindowBytes: 200, MaxUnackedBytes: 3000})
				defer s.close()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var faults sync.WaitGroup
				faults.Go(func() { injectFaults(ctx, s, rand.New(rand.NewPCG(seed, 1))) })
				var streams sync.WaitGroup
				for id := range echoStreams {
					streams.Go(func() {
						if err := echoAll(ctx, s.link, id); err != nil {
							t.Error(err)
						}
					})
				}
				streams.Wait()
				cancel()
				faults.Wait()
			})
		})
	}
}

// injectFaults cuts or silences connections at intervals drawn from r until ctx
// is done.
func injectFaults(ctx context.Context, s *setup, r *rand.Rand) {
	for ctx.Err() == nil {
		if r.IntN(4) == 0 {
			s.net.DropMessages()
		} else {
			s.net.CloseAll()
		}
		time.Sleep(time.Duration(r.IntN(int(300 * time.Millisecond))))
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	tests := map[string]struct {
		quiet time.Duration
	}{
		"busy link":  {0},
		"quiet link": {20 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{})
				defer s.close()
				if err := boragewick.Call(t.Context(), s.link, "echo", "a", new(string)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(tt.quiet)
				s.net.DropMessages()
				before := time.Now()
				var got string
				if err := boragewick.Call(t.Context(), s.link, "echo", "b", &got); err != nil || got != "b" {
					t.Fatalf("got %q, error %v", got, err)
				}
				// The ping is sent after PingInterval, its pong may take
				// PongTimeout, and the timer may check up to one PingInterval
				// late.
				if took := time.Since(before); took > 2100*time.Millisecond {
					t.Errorf("the call took %s", took)
				}
			})
		})
	}
}

func TestSlowReaderDoesNotBlockOtherStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(boragewick.LinkSettings{WindowBytes: 64})
		defer s.close()
		slow, err := s.link.Open(t.Context(), "count", 100000)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for i := range 100 {
			var got string
			if err := boragewick.Call(t.Context(), s.link, "echo", fmt.Sprint(i), &got); err != nil || got != fmt.Sprint(i) {
				t.Fatalf("call %d: got %q, error %v", i, got, err)
			}
		}
		for i := range 100 {
			var got int
			if err := slow.Recv(t.Context(), &got); err != nil || got != i {
				t.Fatalf("slow stream: got %d, error %v, want %d", got, err, i)
			}
		}
	})
}

func TestStreamsFailWhenLinkIsLost(t *testing.T) {
	tests := map[string]struct {
		disrupt func(s *setup)
		want    error
		// within bounds the time until the opener's Recv fails.
		within time.Duration
	}{
		"remote restarted": {func(s *setup) {
			s.startServer(boragewick.LinkSettings{}, "inc_2")
			s.net.CloseAll()
		}, boragewick.ErrLinkLost, time.Second},
		"remote gone": {func(s *setup) {
			s.net.Unlisten(addr)
			s.net.CloseAll()
		}, boragewick.ErrLinkLost, 10 * time.Second},
		"server stops": {func(s *setup) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = s.server.Shutdown(ctx)
		}, boragewick.ErrLinkLost, 0},
		"link closed": {func(s *setup) { _ = s.link.Close() }, boragewick.ErrLinkLost, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{})
				first := s.server
				defer s.close()
				defer func() { _ = first.Shutdown(t.Context()) }()
				st, err := s.link.Open(t.Context(), "hold", nil)
				if err != nil {
					t.Fatal(err)
				}
				if err := st.Recv(t.Context(), new(string)); err != nil {
					t.Fatal(err)
				}
				before := time.Now()
				tt.disrupt(s)
				err = st.Recv(t.Context(), new(string))
				if !errors.Is(err, tt.want) || errors.Is(err, boragewick.ErrNotRun) {
					t.Errorf("error %v", err)
				}
				if took := time.Since(before); took > tt.within {
					t.Errorf("error only after %s", took)
				}
			})
		})
	}
}

func TestOpenFails(t *testing.T) {
	tests := map[string]struct {
		prepare func(s *setup)
		request any
		want    error
		within  time.Duration
	}{
		"no listener": {func(s *setup) { s.net.Unlisten(addr) }, "x", boragewick.ErrLinkLost, 0},
		"remote never answers": {func(s *setup) {
			s.net.Listen(addr, func(c boragewick.Conn) error {
				_, _ = c.ReadMessage()
				_, err := c.ReadMessage()
				return err
			})
		}, "x", boragewick.ErrLinkLost, time.Second},
		"message too large": {func(*setup) {}, strings.Repeat("x", 17<<20), boragewick.ErrTooLarge, 0},
		"server shut down": {func(s *setup) {
			_ = s.server.Shutdown(context.Background())
		}, "x", boragewick.ErrDraining, 0},
		"link closed":   {func(s *setup) { _ = s.link.Close() }, "x", boragewick.ErrLinkLost, 0},
		"not encodable": {func(*setup) {}, make(chan int), nil, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{})
				defer s.close()
				tt.prepare(s)
				before := time.Now()
				_, err := s.link.Open(t.Context(), "echo", tt.request)
				if err == nil || tt.want != nil && !errors.Is(err, tt.want) || !errors.Is(err, boragewick.ErrNotRun) {
					t.Errorf("error %v", err)
				}
				if took := time.Since(before); took > tt.within {
					t.Errorf("error only after %s", took)
				}
			})
		})
	}
}

func TestConcurrencyLimits(t *testing.T) {
	tests := map[string]boragewick.LinkSettings{
		"handlers of the server": {MaxHandlers: 1},
		"streams of the link":    {MaxStreams: 1},
	}
	for name, set := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(set)
				defer s.close()
				ctx, cancel := context.WithCancel(t.Context())
				st, err := s.link.Open(ctx, "hold", nil)
				if err != nil {
					t.Fatal(err)
				}
				if err := st.Recv(ctx, new(string)); err != nil {
					t.Fatal(err)
				}
				err = boragewick.Call(t.Context(), s.link, "echo", "x", new(string))
				if !errors.Is(err, boragewick.ErrOverloaded) || !errors.Is(err, boragewick.ErrNotRun) {
					t.Errorf("second stream: %v", err)
				}
				cancel()
				synctest.Wait()
				if err := boragewick.Call(t.Context(), s.link, "echo", "x", new(string)); err != nil {
					t.Errorf("after the end of the first stream: %v", err)
				}
			})
		})
	}
}

func TestShutdownCompletesOpenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(boragewick.LinkSettings{WindowBytes: 64})
		defer s.close()
		const n = 1000
		st, err := s.link.Open(t.Context(), "count", n)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		done := make(chan error, 1)
		go func() { done <- s.server.Shutdown(context.Background()) }()
		synctest.Wait()
		_, err = s.link.Open(t.Context(), "echo", "late")
		if err == nil {
			err = boragewick.Call(t.Context(), s.link, "echo", "late", new(string))
		}
		if !errors.Is(err, boragewick.ErrDraining) || !errors.Is(err, boragewick.ErrNotRun) {
			t.Errorf("late call: %v", err)
		}
		for i := range n {
			var got int
			if err := st.Recv(t.Context(), &got); err != nil || got != i {
				t.Fatalf("message %d: got %d, error %v", i, got, err)
			}
		}
		if err := <-done; err != nil {
			t.Errorf("shutdown: %v", err)
		}
	})
}

func TestIdleLinkIsClosedAndRedialled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(boragewick.LinkSettings{IdleTimeout: time.Minute})
		defer s.close()
		dials := 0
		s.link.Dialer = boragewick.DialerFunc(func(ctx context.Context, a netip.AddrPort) (boragewick.Conn, error) {
			dials++
			return s.net.Dial(ctx, a)
		})
		for range 3 {
			if err := boragewick.Call(t.Context(), s.link, "echo", "x", new(string)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Second)
		}
		if dials != 1 {
			t.Errorf("%d dials while in use", dials)
		}
		time.Sleep(time.Minute)
		if err := boragewick.Call(t.Context(), s.link, "echo", "x", new(string)); err != nil || dials != 2 {
			t.Errorf("%d dials after the idle timeout, error %v", dials, err)
		}
	})
}

// countingConn counts the bytes that a connection writes.
type countingConn struct {
	boragewick.Conn
	bytes *atomic.Int64
}

// WriteMessage counts the message and passes it on.
func (m countingConn) WriteMessage(b []byte) error {
	m.bytes.Add(int64(len(b)))
	return m.Conn.WriteMessage(b)
}

func TestIdleLinkTraffic(t *testing.T) {
	tests := map[string]struct {
		method string
		// maxBytes bounds what both sides together write in a minute.
		maxBytes int64
	}{
		"no streams":     {"echo", 0},
		"an idle stream": {"hold", 60 * 2 * (7 + 7)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{IdleTimeout: time.Hour})
				defer s.close()
				var bytes atomic.Int64
				serve := s.server.ServeConn
				s.net.Listen(addr, func(c boragewick.Conn) error { return serve(countingConn{c, &bytes}) })
				s.link.Dialer = boragewick.DialerFunc(func(ctx context.Context, a netip.AddrPort) (boragewick.Conn, error) {
					c, err := s.net.Dial(ctx, a)
					return countingConn{c, &bytes}, err
				})
				st, err := s.link.Open(t.Context(), tt.method, "x")
				if err != nil {
					t.Fatal(err)
				}
				if err := st.Recv(t.Context(), new(string)); err != nil {
					t.Fatal(err)
				}
				if err := st.(boragewick.HalfCloser).CloseSend(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2250 * time.Millisecond) // between two pings
				before := bytes.Load()
				time.Sleep(time.Minute)
				if got := bytes.Load() - before; got > tt.maxBytes {
					t.Errorf("%d bytes in a minute, want %d at most", got, tt.maxBytes)
				}
			})
		})
	}
}
