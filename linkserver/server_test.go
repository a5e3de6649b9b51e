package linkserver_test

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/memconn"
)

var addr = netip.MustParseAddrPort("127.0.0.1:7000")

// setup is a server and a link to it over an in-memory network.
type setup struct {
	net    *memconn.Network
	server *linkserver.Server
	link   *link.Link
}

// newSetup returns a link and a running server with the methods that the tests
// use.
func newSetup(set boragewick.LinkSettings) *setup {
	s := &setup{net: &memconn.Network{}}
	s.link = &link.Link{Addr: addr, Dialer: s.net, Settings: set, Hello: boragewick.Hello{Instance: "r1", Role: "router"}}
	s.startServer(set, "inc_1")
	return s
}

// startServer replaces the server behind addr by a new one.
func (s *setup) startServer(set boragewick.LinkSettings, incarnation boragewick.Incarnation) {
	s.server = &linkserver.Server{Settings: set, Hello: boragewick.Hello{Instance: "a1", Incarnation: incarnation}}
	s.server.Handle("echo", boragewick.HandlerFunc(echo))
	s.server.Handle("count", boragewick.HandlerFunc(count))
	s.server.Handle("fail", boragewick.HandlerFunc(fail))
	s.server.Handle("hold", boragewick.HandlerFunc(hold))
	s.server.Handle("who", boragewick.HandlerFunc(who))
	s.net.Listen(addr, s.server.ServeConn)
}

// close ends all goroutines of the setup.
func (s *setup) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.link.Close()
	_ = s.server.Shutdown(ctx)
	s.net.CloseAll()
}

// echo answers every message with itself.
func echo(ctx context.Context, s boragewick.Stream) error {
	for {
		var v string
		err := s.Recv(ctx, &v)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.Send(ctx, v); err != nil {
			return err
		}
	}
}

// count sends as many numbers as the request says.
func count(ctx context.Context, s boragewick.Stream) error {
	var n int
	if err := s.Recv(ctx, &n); err != nil {
		return err
	}
	for i := range n {
		if err := s.Send(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// fail returns ErrOverloaded, marked ErrNotRun.
func fail(context.Context, boragewick.Stream) error {
	return boragewick.NotRun(errors.Wrap(boragewick.ErrOverloaded, "queue full"))
}

// hold sends one message and waits until the stream is canceled.
func hold(ctx context.Context, s boragewick.Stream) error {
	if err := s.Send(ctx, "held"); err != nil {
		return err
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

// who answers with the name of the caller's instance.
func who(ctx context.Context, s boragewick.Stream) error {
	h, _ := boragewick.RemoteHello(ctx)
	return s.Send(ctx, h.Instance)
}

func TestCall(t *testing.T) {
	tests := map[string]struct {
		method string
		want   string
		err    error
		notRun bool
	}{
		"reply":          {method: "echo", want: "hi"},
		"remote hello":   {method: "who", want: "r1"},
		"error":          {method: "fail", err: boragewick.ErrOverloaded, notRun: true},
		"unknown method": {method: "none", err: boragewick.ErrUnknownMethod, notRun: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{})
				defer s.close()
				var got string
				err := boragewick.Call(t.Context(), s.link, tt.method, "hi", &got)
				if got != tt.want || !errors.Is(err, tt.err) || errors.Is(err, boragewick.ErrNotRun) != tt.notRun {
					t.Errorf("got %q, error %v", got, err)
				}
			})
		})
	}
}

func TestStreamIsCompleteUnderFaults(t *testing.T) {
	tests := map[string]func(s *setup){
		"none":    func(*setup) {},
		"cut":     func(s *setup) { s.net.CloseAll() },
		"silence": func(s *setup) { s.net.DropMessages() },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{WindowBytes: 256})
				defer s.close()
				const n = 20000
				st, err := s.link.Open(t.Context(), "count", n)
				if err != nil {
					t.Fatal(err)
				}
				for i := range n {
					if i%997 == 500 {
						fault(s)
					}
					var got int
					if err := st.Recv(t.Context(), &got); err != nil || got != i {
						t.Fatalf("message %d: got %d, error %v", i, got, err)
					}
				}
				if err := st.Recv(t.Context(), new(int)); !errors.Is(err, io.EOF) {
					t.Errorf("after the end: %v", err)
				}
			})
		})
	}
}

func TestCancelReachesHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(boragewick.LinkSettings{})
		defer s.close()
		cause := make(chan error, 1)
		s.server.Handle("wait", boragewick.HandlerFunc(func(ctx context.Context, _ boragewick.Stream) error {
			<-ctx.Done()
			cause <- context.Cause(ctx)
			return nil
		}))
		ctx, cancel := context.WithCancel(t.Context())
		st, err := s.link.Open(ctx, "wait", nil)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		before := time.Now()
		cancel()
		if err := <-cause; !errors.Is(err, boragewick.ErrCanceled) {
			t.Errorf("handler's cause %v", err)
		}
		if !time.Now().Equal(before) {
			t.Error("the cancel waited for a timer")
		}
		if err := st.Recv(t.Context(), nil); !errors.Is(err, boragewick.ErrCanceled) || errors.Is(err, boragewick.ErrNotRun) {
			t.Errorf("opener's error %v", err)
		}
	})
}
