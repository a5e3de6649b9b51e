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

// headerWithin bounds how long a caller on the loopback takes for its headers.
const headerWithin = 10 * time.Second

// settleFor is longer than idle workers live.
const settleFor = 1100 * time.Millisecond

// loopback is an HTTP server on a port of 127.0.0.1 that the system chooses.
type loopback struct {
	http.Server
	addr netip.AddrPort
}

func listen(ctx context.Context, h http.Handler) (*loopback, error) {
	var cfg net.ListenConfig
	l, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, errors.CombineErrors(err, l.Close())
	}
	s := &loopback{addr: addr}
	s.Handler = h
	s.ReadHeaderTimeout = headerWithin
	go func() { _ = s.Serve(l) }()
	return s, nil
}

// listenLinks serves links on the loopback. The returned function ends it.
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

// linkCosts are those of links that are up and idle, both sides together.
func linkCosts() []measurement {
	return []measurement{
		{name: "idle link: memory of both sides", unit: unitBytes, per: "link", sizes: []int{200, 400, 800}, cost: idleLinks, tries: 1},
	}
}

func idleLinks(ctx context.Context, size int) (float64, error) {
	addr, end, err := listenLinks(ctx, newAgent(0, 0).Handle)
	if err != nil {
		return 0, err
	}
	defer end()
	var links []*link.Link
	defer func() {
		for _, l := range links {
			_ = l.Close()
		}
	}()
	time.Sleep(settleFor)
	return memory(func() (any, error) {
		defer time.Sleep(settleFor)
		for n := range size {
			l := &link.Link{Addr: addr, Dialer: &ws.Transport{}}
			links = append(links, l)
			if err := askProbe(ctx, l, n, 1); err != nil {
				return nil, err
			}
		}
		return links, nil
	})
}
