package slopes

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/ws"
)

// headerTimeout bounds how long a server waits for the headers of a request.
const headerTimeout = 10 * time.Second

// settleTime exceeds the idle timeout of session workers, so that they have ended
// when memory is measured.
const settleTime = 1100 * time.Millisecond

// loopbackServer is an HTTP server on an ephemeral port of 127.0.0.1.
type loopbackServer struct {
	http.Server
	addr netip.AddrPort
}

func listen(ctx context.Context, h http.Handler) (*loopbackServer, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, errors.CombineErrors(err, l.Close())
	}
	s := &loopbackServer{addr: addr}
	s.Handler = h
	s.ReadHeaderTimeout = headerTimeout
	go func() { _ = s.Serve(l) }()
	return s, nil
}

// listenLinks serves links on the loopback. The returned function stops the
// server.
func listenLinks(ctx context.Context, register func(handle func(string, boragewick.Handler))) (netip.AddrPort, func(), error) {
	server := &linkserver.Server{}
	register(server.Handle)
	s, err := listen(ctx, server)
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	return s.addr, func() {
		done, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(done)
		_ = s.Close()
	}, nil
}

// linkCosts returns the measurements of idle, connected links. The costs include
// both sides.
func linkCosts() []measurement {
	return []measurement{
		{name: "idle link: memory of both sides", unit: unitBytes, per: "link", sizes: []int{200, 400, 800}, cost: idleLinks, tries: 1},
	}
}

func idleLinks(ctx context.Context, size int) (float64, error) {
	addr, stop, err := listenLinks(ctx, newAgent(0, 0).Handle)
	if err != nil {
		return 0, err
	}
	defer stop()
	var links []*link.Link
	defer func() {
		for _, l := range links {
			_ = l.Close()
		}
	}()
	time.Sleep(settleTime)
	return memory(func() (any, error) {
		defer time.Sleep(settleTime)
		for n := range size {
			l := &link.Link{Addr: addr, Dialer: &ws.Transport{}}
			links = append(links, l)
			if err := callProbe(ctx, l, n, 1); err != nil {
				return nil, err
			}
		}
		return links, nil
	})
}
