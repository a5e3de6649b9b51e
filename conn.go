package boragewick

import (
	"context"
	"net/netip"
)

// Conn carries whole binary messages both ways between two processes. One
// goroutine may read while another one writes.
type Conn interface {
	// ReadMessage returns the next message, which is valid until the next call.
	ReadMessage() ([]byte, error)
	// WriteMessage sends b and doesn't keep it.
	WriteMessage(b []byte) error
	// RemoteName returns the instance name that the remote has proved with its
	// certificate, or "" when it has shown none.
	RemoteName() string
	// Close makes the calls in progress return an error.
	Close() error
}

// Dialer makes connections to other processes.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort) (Conn, error)
}

// DialerFunc adapts a function to a Dialer.
type DialerFunc func(ctx context.Context, addr netip.AddrPort) (Conn, error)

// Dial calls f(ctx, addr).
func (f DialerFunc) Dial(ctx context.Context, addr netip.AddrPort) (Conn, error) {
	return f(ctx, addr)
}
