package upstream

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minWatchedBody is the size from which a body may not fit into the receive buffer of an
	// endpoint.
	minWatchedBody = 16 << 10
	// windowCheckInterval is how often the window of an endpoint is looked at. The first time
	// is well before userTimeout.
	windowCheckInterval = 500 * time.Millisecond
	// closedWindowTimeout replaces userTimeout while an endpoint acknowledges all bytes and has
	// no room for more. It counts from when the endpoint has last read.
	closedWindowTimeout = 10 * time.Second
	// maxLostProbes is the number of probes of a closed window without a reply after which an
	// endpoint counts as silent.
	maxLostProbes = 2
)

// windowWatch keeps the kernel from closing the connection to an endpoint that reads slowly.
// TCP_USER_TIMEOUT also runs while the endpoint replies to all probes but has no room.
type windowWatch struct {
	raw syscall.RawConn

	mu       sync.Mutex
	timer    *time.Timer
	extended bool
}

// watchWindow begins to watch the connection while a request with a body of n bytes is sent.
// It returns nil if that is not needed.
func (co *conn) watchWindow(n int) *windowWatch {
	sc, ok := co.Conn.(syscall.Conn)
	if !ok || n < minWatchedBody {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	w := &windowWatch{raw: raw}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(windowCheckInterval, w.check)
	return w
}

// check sets the timeout by the state of the window and comes back.
func (w *windowWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	closed := false
	_ = w.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.Unacked == 0 && info.Notsent_bytes > 0 && info.Probes < maxLostProbes
	})
	w.extend(closed)
	w.timer.Reset(windowCheckInterval)
}

// stop ends the watch and restores the timeout.
func (w *windowWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
	w.extend(false)
}

func (w *windowWatch) extend(extended bool) {
	if w.extended == extended {
		return
	}
	w.extended = extended
	timeout := userTimeout
	if extended {
		timeout = closedWindowTimeout
	}
	_ = w.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
