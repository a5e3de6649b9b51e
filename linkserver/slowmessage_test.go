package linkserver_test

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragewick/boragewick"
)

// pieceBytes is how much of a message a slowConn brings at once.
const pieceBytes = 1 << 10

// slowConn is a connection whose messages arrive in pieces.
type slowConn struct {
	boragewick.Conn
	bytesPerSecond int
	// silentAfter is the number of bytes after which nothing arrives any more; zero means none.
	silentAfter int
	received    int
	progress    func()
	closed      atomic.Bool
}

// Close implements boragewick.Conn.
func (c *slowConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// OnProgress implements boragewick.ProgressConn.
func (c *slowConn) OnProgress(f func()) { c.progress = f }

func (c *slowConn) ReadMessage() ([]byte, error) {
	b, err := c.Conn.ReadMessage()
	for n := len(b); n > 0; n -= pieceBytes {
		time.Sleep(time.Second * time.Duration(min(n, pieceBytes)) / time.Duration(c.bytesPerSecond))
		if c.received += min(n, pieceBytes); c.silentAfter > 0 && c.received > c.silentAfter {
			_, err := c.Conn.ReadMessage() // returns once the connection is closed
			for err == nil {
				_, err = c.Conn.ReadMessage()
			}
			return nil, err
		}
		if c.closed.Load() {
			return nil, io.ErrClosedPipe
		}
		if c.progress != nil {
			c.progress()
		}
	}
	return b, err
}

// TestLargeMessageOnSlowLink guards against a connection that counts as dead while a large message
// arrives on it, and against streams that get the message from its beginning on each connection
// that follows, and never all of it.
func TestLargeMessageOnSlowLink(t *testing.T) {
	const messageBytes, bytesPerSecond = 100_000, 10_000 // 10 s
	tests := map[string]struct {
		down, up, silentAfter int
		lost                  bool
	}{
		"response":               {down: bytesPerSecond, up: 1 << 30},
		"request":                {down: 1 << 30, up: bytesPerSecond},
		"silent in the response": {down: bytesPerSecond, up: 1 << 30, silentAfter: messageBytes / 2, lost: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{})
				defer time.Sleep(time.Minute) // in which the connections' last messages arrive
				defer s.close()
				s.net.Listen(addr, func(c boragewick.Conn) error {
					return s.server.ServeConn(&slowConn{Conn: c, bytesPerSecond: test.up})
				})
				s.link.Dialer = boragewick.DialerFunc(func(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
					c, err := s.net.Dial(ctx, addr)
					return &slowConn{Conn: c, bytesPerSecond: test.down, silentAfter: test.silentAfter}, err
				})
				var lost atomic.Int32
				s.link.OnLost = func(_ netip.AddrPort, err error) {
					lost.Add(1)
					t.Log("connection lost: ", err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
				defer cancel()
				message := strings.Repeat("x", messageBytes)
				var got string
				err := boragewick.Call(ctx, s.link, "echo", message, &got)
				if complete := err == nil && got == message; complete == test.lost {
					t.Errorf("%d bytes received: %v", len(got), err)
				}
				if (lost.Load() > 0) != test.lost {
					t.Errorf("%d connections lost", lost.Load())
				}
			})
		})
	}
}
