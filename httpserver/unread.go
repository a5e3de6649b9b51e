package httpserver

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/boragewick/boragewick"
)

const (
	// unreadChecks is the number of times within the timeout at which a write that waits
	// looks whether the caller has read.
	unreadChecks = 4
	// sendBufferBytes is the size of the kernel's send buffer of a connection. Left to
	// itself, the kernel lets it grow to several MB for each caller that does not read.
	sendBufferBytes = 256 << 10
)

// callerListener accepts callerConns.
type callerListener struct {
	net.Listener
	// unreadTimeout is zero if callers may leave responses unread.
	unreadTimeout time.Duration
	onUnread      func(remote net.Addr, timeout time.Duration)
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := nc.(*net.TCPConn); ok && l.unreadTimeout > 0 {
		_ = t.SetWriteBuffer(sendBufferBytes)
	}
	c := &callerConn{Conn: nc, acceptedAt: time.Now(), idle: true, unread: unreadLimit{onUnread: l.onUnread}}
	c.SetUnreadTimeout(l.unreadTimeout)
	return c, nil
}

// unreadLimit bounds how long a caller may leave a response unread.
type unreadLimit struct {
	timeout  atomic.Int64
	cutOff   atomic.Bool
	onUnread func(remote net.Addr, timeout time.Duration)
}

// SetUnreadTimeout implements boragewick.CallerConn.
func (c *callerConn) SetUnreadTimeout(d time.Duration) { c.unread.timeout.Store(int64(d)) }

// Write writes p. A caller that takes the data slowly is waited for as long as it takes
// any of it within the timeout. With a timeout, writes set the write deadline themselves.
func (c *callerConn) Write(p []byte) (int, error) {
	timeout := time.Duration(c.unread.timeout.Load())
	if timeout <= 0 {
		return c.Conn.Write(p)
	}
	if c.unread.cutOff.Load() {
		return 0, boragewick.ErrUnread
	}
	readAt := time.Now()
	unread := -1
	for sent := 0; ; {
		_ = c.SetWriteDeadline(time.Now().Add(timeout / unreadChecks))
		n, err := c.Conn.Write(p[sent:])
		sent += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return sent, err
		}
		before := unread
		unread = c.unacknowledged()
		if n > 0 || unread < before {
			readAt = time.Now()
		}
		if time.Since(readAt) >= timeout {
			return sent, c.cut(timeout)
		}
	}
}

// cut makes the connection end with a reset, which discards what the caller has not read
// and cannot be taken for the end of a response.
func (c *callerConn) cut(timeout time.Duration) error {
	c.unread.cutOff.Store(true)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	if c.unread.onUnread != nil {
		c.unread.onUnread(c.RemoteAddr(), timeout)
	}
	return errors.Wrapf(boragewick.ErrUnread, "for %s", timeout)
}

// unacknowledged returns the number of bytes that the caller's kernel has not taken yet. It
// decreases before there is room for a write, which the kernel allows only once a third of
// its buffer is free. It is zero if unknown.
func (c *callerConn) unacknowledged() int { return queued(c.Conn, unix.SIOCOUTQ) }

// queued returns the number of bytes in one of the connection's queues in the kernel, or zero
// if that is unknown.
func queued(c net.Conn, queue uint) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), queue) })
	return n
}
