package httpserver

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/boragewick/boragewick"
)

// callerConn is a connection of a server's listener. It ends while it is idle without losing a
// request that arrives at that moment: only the goroutine that reads requests closes it, once a
// read finds that none has arrived.
type callerConn struct {
	net.Conn
	acceptedAt time.Time
	unread     unreadLimit

	mu sync.Mutex
	// idle is set while no request is handled. requested is set once a part of a request was
	// read since then. ending is set when the connection is to be closed while it is idle.
	idle, requested, ending bool
	// used is set once a request was handled.
	used bool
}

var _ boragewick.CallerConn = (*callerConn)(nil)

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the writing side, which net/http does before it closes a connection
// on which the caller may still send.
func (c *callerConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.requested = true, false
}

func (c *callerConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.used = false, true
}

// endIdle makes the connection end if it is idle and no part of a request has arrived, now or
// after the requests that arrive before it ends.
func (c *callerConn) endIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used && now.Sub(c.acceptedAt) < newConnTime {
		return
	}
	c.ending = true
	if c.awaitsRequest() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// awaitsRequest reports whether the connection is idle and no part of a request has arrived.
func (c *callerConn) awaitsRequest() bool {
	return c.idle && !c.requested && queued(c.Conn, unix.TIOCINQ) == 0
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.ended() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resumes() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.setRequested()
	}
	return n, err
}

// ended reports whether the connection is to be closed instead of being read. net/http sets a
// deadline of its own before it waits for a request, so that of endIdle may be gone.
func (c *callerConn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.awaitsRequest()
}

// resumes reports whether a read goes on that was ended by endIdle, as a request has arrived
// meanwhile.
func (c *callerConn) resumes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || !c.idle || c.requested || c.awaitsRequest() {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	return true
}

// setRequested records that a part of a request was read, and lets the rest be read if endIdle
// has ended reads at the same moment.
func (c *callerConn) setRequested() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.requested {
		return
	}
	c.requested = true
	if c.ending {
		_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	}
}
