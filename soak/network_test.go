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

// hop is a direction between two hosts, by their advertised addresses.
type hop struct{ from, to netip.Addr }

// network forwards connections between hosts. A host listens at its local
// address and is known by its advertised one, where the network listens.
type network struct {
	mu   sync.Mutex
	heal *sync.Cond
	// known maps local addresses to advertised ones.
	known map[netip.Addr]netip.Addr
	// cut counts the faults that hold up a direction.
	cut    map[hop]int
	delay  map[hop]time.Duration
	relays map[*relay]bool
	closed bool
	ls     []net.Listener
	// refused counts the connections for which there was no file.
	refused atomic.Int64
}

// relay is one forwarded connection.
type relay struct {
	hop
	in, out net.Conn
	// silent connections carry nothing any more.
	silent bool
}

func newNetwork() *network {
	n := &network{known: map[netip.Addr]netip.Addr{}, cut: map[hop]int{}, delay: map[hop]time.Duration{}, relays: map[*relay]bool{}}
	n.heal = sync.NewCond(&n.mu)
	return n
}

// forward forwards the ports of the advertised address to the local one.
func (n *network) forward(advertised, local netip.Addr, ports ...uint16) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known[local] = advertised
	for _, port := range ports {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(advertised, port).String())
		if err != nil {
			return err
		}
		n.ls = append(n.ls, l)
		go n.accept(l, advertised, netip.AddrPortFrom(local, port))
	}
	return nil
}

func (n *network) accept(l net.Listener, to netip.Addr, target netip.AddrPort) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the process has too many files open
			n.refused.Add(1)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		from := netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()
		n.mu.Lock()
		if advertised, ok := n.known[from]; ok {
			from = advertised
		}
		r := &relay{hop: hop{from, to}, in: c}
		n.relays[r] = true
		n.mu.Unlock()
		go n.carry(r, target)
	}
}

// carry connects the relay and forwards until both directions have ended.
func (n *network) carry(r *relay, target netip.AddrPort) {
	defer func() {
		n.mu.Lock()
		delete(n.relays, r)
		n.mu.Unlock()
		_ = r.in.Close()
	}()
	back := hop{r.to, r.from}
	if !n.pass(r, r.hop) || !n.pass(r, back) {
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
	n.pump(r, r.hop, out, r.in)
	<-done
}

// pump forwards one direction.
func (n *network) pump(r *relay, h hop, to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		k, err := from.Read(buf)
		if !n.pass(r, h) {
			reset(to)
			reset(from)
			return
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

// pass waits until the direction carries data, and reports whether the network
// is still there.
func (n *network) pass(r *relay, h hop) bool {
	n.mu.Lock()
	for !n.closed && (n.cut[h] > 0 || r.silent) {
		n.heal.Wait()
	}
	d, closed := n.delay[h], n.closed
	n.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
	return !closed
}

// hold holds up the directions until the function that it returns is called.
func (n *network) hold(hops ...hop) (heal func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range hops {
		n.cut[h]++
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, h := range hops {
			n.cut[h]--
		}
		n.heal.Broadcast()
	}
}

// slow delays each piece in the directions until the function that it returns
// is called.
func (n *network) slow(d time.Duration, hops ...hop) (heal func()) {
	set := func(d time.Duration) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, h := range hops {
			n.delay[h] = d
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

// disconnect ends the network.
func (n *network) disconnect() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.ls {
		_ = l.Close()
	}
	for r := range n.relays {
		reset(r.in)
		if r.out != nil {
			reset(r.out)
		}
	}
	n.heal.Broadcast()
}

// reset closes the connection so that the other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
