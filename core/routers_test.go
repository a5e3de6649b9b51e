package core

import (
	"fmt"
	"net/netip"
	"testing"
)

// TestRouterCount answers the pattern in which each router watches three of six
// replicas, while routers and replicas come and go.
func TestRouterCount(t *testing.T) {
	const replicas, watched = 6, 3
	addr := func(i int) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1) }
	for _, n := range []int{3, 30, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			sets := make([]routerSet, replicas)
			for r := range n {
				for k := range watched {
					sets[(r+k)%replicas].add(fmt.Sprint("router-", r))
				}
			}
			exchange := func(lost int) {
				for i := range sets {
					for j := range sets {
						if i == j {
							continue
						}
						if j == lost {
							sets[i].setRemote(addr(j), nil)
						} else {
							sets[i].setRemote(addr(j), sets[j].list())
						}
					}
				}
			}
			exchange(-1)
			for i := range sets {
				if c := sets[i].count(); c != n {
					t.Errorf("replica %d counts %d routers", i, c)
				}
			}
			exchange(5) // each router still watches two others
			if c := sets[0].count(); c != n {
				t.Errorf("%d routers without one replica", c)
			}
			for k := range watched {
				sets[k%replicas].remove("router-0")
			}
			exchange(-1)
			if c := sets[1].count(); c != n-1 {
				t.Errorf("%d routers after one has left", c)
			}
		})
	}
}
