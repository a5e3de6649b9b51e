package boragewick

import (
	"context"
	"net/netip"
)

// Conn carries complete binary messages in both directions between two
// processes. One goroutine may read while another one writes.
type Conn interface {
	// ReadMessage returns the next message, which is valid until the next call.
	ReadMessage() ([]byte, error)
	// WriteMessage sends b and does not retain it.
	WriteMessage(b []byte) error
	// RemoteName returns the instance name that the remote's certificate proves,
	// or "" if the remote has presented none.
	RemoteName() string
	// Close closes the connection. Calls in progress return an error.
	Close() error
}

// ProgressConn is a Conn that tells of messages that arrive in pieces.
type ProgressConn interface {
	Conn
	// OnProgress sets the function that is called when a piece of a message has arrived, by
	// the goroutine that reads. It is called before the first read.
	OnProgress(f func())
}

// Dialer opens connections to other processes.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort) (Conn, error)
}

// DialerFunc adapts a function to a Dialer.
type DialerFunc func(ctx context.Context, addr netip.AddrPort) (Conn, error)

// Dial calls f(ctx, addr).
func (f DialerFunc) Dial(ctx context.Context, addr netip.AddrPort) (Conn, error) {
	return f(ctx, addr)
}
