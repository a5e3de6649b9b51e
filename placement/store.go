package placement

import (
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

const (
	// storeTokensPerMilli is the assumed speed of a fetch from a store, whose one
	// link all engines share.
	storeTokensPerMilli = 150.0
	// leastKept is the number of shared tokens for which a prompt is kept. The
	// request's own part is sent along, so short ones crowd the store's link.
	leastKept = 500
	// keepLag is how long after a part was read it may be missing in what is told
	// of the stores, as engines send it later and stores tell of it late.
	keepLag = 3 * time.Second
	// maxRead bounds the parts whose reading is remembered.
	maxRead = 1 << 16
)

// store is what is told of a store of kept parts.
type store struct {
	addr  netip.AddrPort
	parts map[uint64]int
	down  bool
}

// ObserveStore takes in what is told of a store; nil tells that nothing is known
// of it any more.
func (p *Placement) ObserveStore(addr netip.AddrPort, u *boragewick.EngineUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stores == nil {
		p.stores = map[netip.AddrPort]*store{}
	}
	if u == nil {
		delete(p.stores, addr)
		return
	}
	s := p.stores[addr]
	if s == nil || u.Reset {
		s = &store{addr: addr, parts: map[uint64]int{}}
		p.stores[addr] = s
	}
	s.down = u.Down
	for _, part := range u.Parts {
		if part.Tokens == 0 {
			delete(s.parts, part.Key)
		} else {
			s.parts[part.Key] = part.Tokens
		}
	}
}

// addStores gives the group the stores that are up, and the one of them that is
// to keep its prompt.
func (g *group) addStores(p *Placement, s *boragewick.Selection) {
	if len(g.keys) == 0 || g.weights == "" || tokens(s, len(g.keys)) < leastKept {
		return
	}
	deepest := g.keys[len(g.keys)-1]
	var best uint64
	for _, addr := range s.Stores {
		st := p.stores[addr]
		if st == nil || st.down {
			continue
		}
		g.stores = append(g.stores, st)
		if rank := mix(deepest, xxh3.HashString(addr.String())); !g.keepAt.IsValid() || rank > best {
			g.keepAt, best = addr, rank
		}
	}
	if p.now().Sub(p.read[deepest]) < keepLag {
		g.keepAt = netip.AddrPort{}
	}
}

// kept returns the store that has most of the parts after the first ones, and
// how many of the leading parts an engine has that fetches them. It is nil when
// none has any.
func (g *group) kept(has int) (*store, int) {
	var source *store
	most := has
	for _, st := range g.stores {
		n := has
		for n < len(g.keys) && st.parts[g.keys[n]] >= g.sizes[n]*wholePart/100 {
			n++
		}
		if n > most {
			source, most = st, n
		}
	}
	return source, most
}

// noteRead notes when the part was first seen to be read.
func (p *Placement) noteRead(key uint64, now time.Time) {
	if p.read == nil || len(p.read) > maxRead {
		p.read = map[uint64]time.Time{}
	}
	if now.Sub(p.read[key]) > partLife {
		p.read[key] = now
	}
}
