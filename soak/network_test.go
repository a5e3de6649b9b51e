package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// direction is one direction of traffic between two hosts, given by their
// advertised addresses.
type direction struct{ from, to netip.Addr }

// network forwards connections between hosts. A host listens at its local
// address; other hosts connect to its advertised one, where the network listens.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	// advertisedOf maps local addresses to advertised ones.
	advertisedOf map[netip.Addr]netip.Addr
	// blocked counts the faults that block a direction.
	blocked map[direction]int
	delay   map[direction]time.Duration
	// downlinks are the slow links of hosts.
	downlinks map[netip.Addr]*downlink
	relays    map[*relay]bool
	closed    bool
	listeners map[netip.AddrPort]net.Listener
	// acceptErrors counts the failed accepts, which mean that the process has too
	// many files open.
	acceptErrors atomic.Int64
}

// relay is a forwarded connection.
type relay struct {
	direction
	in, out net.Conn
	// silent relays stay open but forward nothing any more.
	silent bool
	// toControl reports whether the target is a control process's port for links.
	toControl bool
}

func newNetwork() *network {
	n := &network{advertisedOf: map[netip.Addr]netip.Addr{}, blocked: map[direction]int{}, delay: map[direction]time.Duration{}, downlinks: map[netip.Addr]*downlink{}, relays: map[*relay]bool{}, listeners: map[netip.AddrPort]net.Listener{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// forward forwards the ports of the advertised address to the local one.
func (n *network) forward(advertised, local netip.Addr, ports ...uint16) error {
	n.mu.Lock()
	n.advertisedOf[local] = advertised
	n.mu.Unlock()
	for _, port := range ports {
		if err := n.listen(netip.AddrPortFrom(advertised, port), local); err != nil {
			return err
		}
	}
	return nil
}

// listen forwards the advertised address to the same port of the local one.
func (n *network) listen(advertised netip.AddrPort, local netip.Addr) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	l, err := net.Listen("tcp4", advertised.String())
	if err != nil {
		return err
	}
	n.listeners[advertised] = l
	go n.accept(l, advertised.Addr(), netip.AddrPortFrom(local, advertised.Port()))
	return nil
}

// stopListening refuses new connections to the advertised address, as after the end
// of the process that listened there.
func (n *network) stopListening(advertised netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[advertised]; l != nil {
		_ = l.Close()
		delete(n.listeners, advertised)
	}
}

func (n *network) accept(l net.Listener, to netip.Addr, target netip.AddrPort) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the process has too many files open
			n.acceptErrors.Add(1)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		from := netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()
		n.mu.Lock()
		if advertised, ok := n.advertisedOf[from]; ok {
			from = advertised
		}
		r := &relay{direction: direction{from, to}, in: c, toControl: target.Port() == controlPort}
		n.relays[r] = true
		n.mu.Unlock()
		_ = c.(*net.TCPConn).SetWriteBuffer(socketBuffer)
		go n.forwardConn(r, target)
	}
}

// forwardConn connects the relay to its target and forwards until both directions
// have ended.
func (n *network) forwardConn(r *relay, target netip.AddrPort) {
	defer func() {
		n.mu.Lock()
		delete(n.relays, r)
		n.mu.Unlock()
		_ = r.in.Close()
	}()
	back := direction{r.to, r.from}
	if !n.waitOpen(r, r.direction) || !n.waitOpen(r, back) {
		return
	}
	out, err := net.DialTimeout("tcp4", target.String(), time.Second)
	if err != nil {
		reset(r.in)
		return
	}
	n.mu.Lock()
	r.out = out
	n.mu.Unlock()
	defer out.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.pump(r, back, r.in, out)
	}()
	n.pump(r, r.direction, out, r.in)
	<-done
}

// pump forwards one direction.
func (n *network) pump(r *relay, dir direction, to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		k, err := from.Read(buf)
		if !n.waitOpen(r, dir) {
			reset(to)
			reset(from)
			return
		}
		if r.toControl && dir != r.direction {
			n.carry(dir.to, k)
		}
		if k > 0 {
			if _, werr := to.Write(buf[:k]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// waitOpen waits until the relay may forward in the direction, sleeps for the
// direction's delay, and reports whether the network is still open.
func (n *network) waitOpen(r *relay, dir direction) bool {
	n.mu.Lock()
	for !n.closed && (n.blocked[dir] > 0 || r.silent) {
		n.changed.Wait()
	}
	d, closed := n.delay[dir], n.closed
	n.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
	return !closed
}

// blockDirections blocks the directions until the returned function is called.
func (n *network) blockDirections(directions ...direction) (heal func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, dir := range directions {
		n.blocked[dir]++
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, dir := range directions {
			n.blocked[dir]--
		}
		n.changed.Broadcast()
	}
}

// delayDirections delays each read in the directions until the returned function
// is called.
func (n *network) delayDirections(d time.Duration, directions ...direction) (heal func()) {
	set := func(d time.Duration) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, dir := range directions {
			n.delay[dir] = d
		}
	}
	set(d)
	return func() { set(0) }
}

// breakRelays resets a share of the connections of the host, or silences them for
// good.
func (n *network) breakRelays(rng *rand.Rand, host netip.Addr, share float64, silence bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.relays {
		if (r.from != host && r.to != host) || rng.Float64() >= share {
			continue
		}
		if silence {
			r.silent = true
			continue
		}
		reset(r.in)
		if r.out != nil {
			reset(r.out)
		}
	}
}

// shutdown closes the listeners and resets all relays.
func (n *network) shutdown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for r := range n.relays {
		reset(r.in)
		if r.out != nil {
			reset(r.out)
		}
	}
	n.changed.Broadcast()
}

// reset closes the connection so that the other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
