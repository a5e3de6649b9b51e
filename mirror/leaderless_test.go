package mirror

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/memconn"
	"github.com/boragewick/boragewick/peers"
)

// fakeReplica sends keepalives, its version and the leader that it knows.
type fakeReplica struct {
	mu      sync.Mutex
	version uint64
	leader  netip.AddrPort
	silent  bool
	streams int
}

func (r *fakeReplica) set(f func(*fakeReplica)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *fakeReplica) serve(ctx context.Context, st boragewick.Stream) error {
	r.set(func(r *fakeReplica) { r.streams++ })
	defer r.set(func(r *fakeReplica) { r.streams-- })
	for {
		r.mu.Lock()
		u, silent := boragewick.WatchUpdate{Leader: r.leader}, r.silent
		if r.version > 0 {
			u.Publication = &boragewick.Publication{Version: r.version, Document: []byte(fmt.Sprint(r.version))}
		}
		r.mu.Unlock()
		if !silent {
			if err := st.Send(ctx, &u); err != nil {
				return err
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TestLeaderlessReplicasAreReplaced guards against a router that has two replicas that are cut off
// from their leader among the three that it follows, and waits for the third when that falls
// silent: changes were known to it late.
func TestLeaderlessReplicasAreReplaced(t *testing.T) {
	const applyTime = 2 * time.Second // the least that the platform allows
	synctest.Test(t, func(t *testing.T) {
		network := &memconn.Network{}
		pool := &peers.Pool{Dialer: network, Hello: boragewick.Hello{Instance: "router"}}
		m := &Mirror{Instance: "router", Decoder: versionDecoder{}, Peers: pool, Clock: boragewick.SystemClock, Logger: log.NewNopLogger()}
		replicas := map[netip.AddrPort]*fakeReplica{}
		for i := range 6 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
			m.Seeds = append(m.Seeds, addr)
			r := &fakeReplica{version: 1, leader: m.Seeds[0]}
			replicas[addr] = r
			s := &linkserver.Server{Hello: boragewick.Hello{Instance: addr.String()}}
			s.Handle(boragewick.MethodWatch, boragewick.HandlerFunc(r.serve))
			network.Listen(addr, s.ServeConn)
		}
		all := func(f func(*fakeReplica)) {
			for _, r := range replicas {
				r.set(f)
			}
		}
		followed := func() []netip.AddrPort {
			var list []netip.AddrPort
			for addr, r := range replicas {
				r.set(func(r *fakeReplica) {
					if r.streams > 0 {
						list = append(list, addr)
					}
				})
			}
			return list
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = m.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		first := followed()
		if len(first) != followedReplicas {
			t.Fatalf("%d replicas followed", len(first))
		}
		for _, addr := range first[:2] {
			replicas[addr].set(func(r *fakeReplica) { r.leader = netip.AddrPort{} })
		}
		time.Sleep(4 * time.Second)
		if list := followed(); len(list) != followedReplicas || slices.Contains(list, first[0]) || slices.Contains(list, first[1]) {
			t.Errorf("%v followed, %v name no leader", list, first[:2])
		}
		replicas[first[2]].set(func(r *fakeReplica) { r.silent = true })
		for addr, r := range replicas {
			if !slices.Contains(first, addr) {
				r.set(func(r *fakeReplica) { r.version = 2 })
			}
		}
		time.Sleep(applyTime)
		if v := m.View().Table.Version; v != 2 {
			t.Errorf("version %d in force %v after version 2", v, applyTime)
		}
		// Without any leader, no replica is better than another.
		all(func(r *fakeReplica) { r.silent, r.leader, r.version = false, netip.AddrPort{}, 3 })
		time.Sleep(10 * time.Second)
		if n := len(followed()); n < followedReplicas || n > maxFollowed || m.View().Table.Version != 3 {
			t.Errorf("%d replicas followed, version %d", n, m.View().Table.Version)
		}
		all(func(r *fakeReplica) { r.leader = m.Seeds[1] })
		time.Sleep(2 * time.Second)
		if n := len(followed()); n != followedReplicas {
			t.Errorf("%d replicas followed after the election", n)
		}
		cancel()
		<-done
		for _, addr := range m.Seeds {
			_ = pool.Get(addr).(*link.Link).Close()
		}
		time.Sleep(time.Minute)
	})
}
