package httpserver

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxQueueTime bounds how long connections are taken from the queue, as more may arrive
// meanwhile.
const maxQueueTime = 300 * time.Millisecond

// queueListener accepts the connections in its queue before it is closed. The kernel resets
// those that remain, and their callers may have sent requests.
type queueListener struct {
	*net.TCPListener
	stopping atomic.Bool
	// closesBy is set before stopping.
	closesBy time.Time
}

// stop makes Accept close the listener once the queue is empty.
func (l *queueListener) stop() {
	l.closesBy = time.Now().Add(maxQueueTime)
	l.stopping.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0))
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil || !l.stopping.Load() {
		return c, err
	}
	if time.Now().Before(l.closesBy) {
		if c, err = l.acceptQueued(); err == nil {
			return c, nil
		}
	}
	_ = l.Close()
	return nil, errors.Mark(err, net.ErrClosed)
}

// acceptQueued accepts a connection without waiting for one. After the deadline,
// net.TCPListener doesn't look at the queue.
func (l *queueListener) acceptQueued() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	fd := -1
	errControl := raw.Control(func(listener uintptr) {
		for {
			fd, _, err = unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.ECONNABORTED) {
				return
			}
		}
	})
	if err = errors.CombineErrors(errControl, err); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "connection")
	defer func() { _ = f.Close() }()
	return net.FileConn(f)
}
