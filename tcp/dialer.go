// Package tcp opens TCP connections to machines that may just be starting.
package tcp

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	// attemptInterval is the time after which another attempt is made while the earlier ones
	// have neither succeeded nor failed. A machine without power drops the first packet of an
	// attempt, and the kernel sends it again only after a second.
	attemptInterval = 200 * time.Millisecond
	// maxAttempts bounds the sockets of one dial.
	maxAttempts = 5
)

// Dialer opens TCP connections.
type Dialer struct {
	// LocalAddr is the local address of the connections. If it is invalid, the system
	// chooses one.
	LocalAddr netip.Addr

	// connect makes one attempt; nil means connectOnce. Tests replace it.
	connect func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// attempt is the result of one attempt.
type attempt struct {
	conn net.Conn
	err  error
}

// Dial connects to the address. It returns the first connection that is established, or the
// error of the first attempt that fails.
func (d *Dialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt)
	ticker := time.NewTicker(attemptInterval)
	defer ticker.Stop()
	next := ticker.C
	for n := 1; ; n++ {
		go d.try(ctx, addr, results)
		if n == maxAttempts {
			next = nil
		}
		select {
		case r := <-results:
			return r.conn, r.err
		case <-next:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// try makes one attempt and closes its connection if the dial has ended meanwhile.
func (d *Dialer) try(ctx context.Context, addr netip.AddrPort, results chan<- attempt) {
	connect := d.connect
	if connect == nil {
		connect = d.connectOnce
	}
	conn, err := connect(ctx, addr)
	select {
	case results <- attempt{conn, err}:
	case <-ctx.Done():
		if err == nil {
			_ = conn.Close()
		}
	}
}

func (d *Dialer) connectOnce(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	if d.LocalAddr.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.LocalAddr, 0))
	}
	return dialer.DialContext(ctx, "tcp", addr.String())
}
