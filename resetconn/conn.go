// Package resetconn tells a connection that the remote has reset from one that it has closed.
package resetconn

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateClosed is the state TCP_CLOSE of a socket. After the remote has closed its side in order,
// the state is another one.
const stateClosed = 7

// Conn is a TCP connection whose Read returns ECONNRESET if the remote has reset it. The kernel
// reports a reset to one call only: after a Write has got it, Read of a net.TCPConn returns io.EOF.
type Conn struct {
	net.Conn
}

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.isReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// isReset reports whether the connection has ended in both directions, as far as that is known.
func (c Conn) isReset() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == stateClosed
	})
	// A connection that was closed here meanwhile can't be asked any more.
	return err != nil || reset
}
