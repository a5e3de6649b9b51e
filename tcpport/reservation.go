// Package tcpport reserves TCP ports for processes that listen on them later.
package tcpport

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Reservation holds a port of the loopback address. The kernel gives the port to
// nobody who asks for any free one, while a listener that names it, and sets
// SO_REUSEADDR as listeners of the net package do, gets it.
type Reservation struct {
	Addr netip.AddrPort

	fd int
}

// Reserve reserves a free port until Close.
func Reserve() (*Reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, unix.IPPROTO_TCP)
	if err != nil {
		return nil, errors.Wrap(err, "socket")
	}
	r := &Reservation{fd: fd}
	if err := r.bind(); err != nil {
		return nil, errors.CombineErrors(err, r.Close())
	}
	return r, nil
}

// bind binds the socket, which never listens, to a port that the kernel chooses.
func (r *Reservation) bind() error {
	if err := unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return errors.Wrap(err, "SO_REUSEADDR")
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := unix.Bind(r.fd, &unix.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return errors.Wrap(err, "bind")
	}
	name, err := unix.Getsockname(r.fd)
	if err != nil {
		return errors.Wrap(err, "getsockname")
	}
	r.Addr = netip.AddrPortFrom(loopback, uint16(name.(*unix.SockaddrInet4).Port))
	return nil
}

// Close gives the port up.
func (r *Reservation) Close() error { return errors.Wrap(unix.Close(r.fd), "close") }
