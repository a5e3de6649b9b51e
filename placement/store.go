package placement

import (
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

const (
	// storeTokensPerMilli is the assumed speed of a fetch from a store, whose single
	// link is shared by all engines.
	storeTokensPerMilli = 150.0
	// minStoredTokens is the least number of shared tokens for which a prompt is
	// stored. The request's own part is sent along with them, so short prompts
	// would congest the store's link.
	minStoredTokens = 500
	// storeEventLag is how long after its prefill a part may be missing from what
	// is reported of the stores, because engines send parts to the stores later and
	// the stores report them late.
	storeEventLag = 3 * time.Second
	// maxPrefilled bounds the parts whose prefill time is remembered.
	maxPrefilled = 1 << 16
)

// store is the reported state of a store of prompt parts.
type store struct {
	addr         netip.AddrPort
	storedTokens map[uint64]int
	down         bool
}

// ObserveStore applies an update of a store. A nil update means that nothing is
// known of the store any more.
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
		s = &store{addr: addr, storedTokens: map[uint64]int{}}
		p.stores[addr] = s
	}
	s.down = u.Down
	for _, part := range u.Parts {
		if part.Tokens == 0 {
			delete(s.storedTokens, part.Key)
		} else {
			s.storedTokens[part.Key] = part.Tokens
		}
	}
}

// addStores sets the stores that are up, and the one of them that is to store the
// prompt, selected by rendezvous hashing.
func (g *weightsGroup) addStores(p *Placement, s *boragewick.Selection) {
	if len(g.partKeys) == 0 || leadingTokens(s, len(g.partKeys)) < minStoredTokens {
		return
	}
	deepest := g.partKeys[len(g.partKeys)-1]
	var best uint64
	for _, addr := range s.Stores {
		st := p.stores[addr]
		if st == nil || st.down {
			continue
		}
		g.stores = append(g.stores, st)
		if score := mix(deepest, xxh3.HashString(addr.String())); !g.targetStore.IsValid() || score > best {
			g.targetStore, best = addr, score
		}
	}
	if p.now().Sub(p.prefilledAt[deepest]) < storeEventLag {
		g.targetStore = netip.AddrPort{}
	}
}

// bestStore returns the store that has the most consecutive parts after the first
// known ones, and how many leading parts an engine has once it has fetched them.
// The store is nil if none has the next part.
func (g *weightsGroup) bestStore(known int) (*store, int) {
	var source *store
	most := known
	for _, st := range g.stores {
		n := known
		for n < len(g.partKeys) && st.storedTokens[g.partKeys[n]] >= g.partTokens[n]*minCachedPercent/100 {
			n++
		}
		if n > most {
			source, most = st, n
		}
	}
	return source, most
}

// notePrefilled records when the part was first seen to be prefilled. The time is
// kept for partTTL.
func (p *Placement) notePrefilled(key uint64, now time.Time) {
	if p.prefilledAt == nil || len(p.prefilledAt) > maxPrefilled {
		p.prefilledAt = map[uint64]time.Time{}
	}
	if now.Sub(p.prefilledAt[key]) > partTTL {
		p.prefilledAt[key] = now
	}
}
