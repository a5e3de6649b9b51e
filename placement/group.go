package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// fewShare is the reciprocal of the share of the endpoints that prompts with
	// the same first part go to, and fewLeast the least number of them.
	fewShare = 6
	fewLeast = 2
)

// group are the endpoints that have the same version of a model's weights, and
// so may use each other's cached parts.
type group struct {
	// weights is the version, and scope keeps cached parts apart that must not
	// be shared.
	weights string
	scope   string
	// keys and sizes are those of the parts that requests may share.
	keys  []uint64
	sizes []int
	size  int
	// stores are those that are up, and keepAt is the one that is to keep the
	// prompt; invalid when none is.
	stores []*store
	keepAt netip.AddrPort
	// few are where all routers send prompts that begin with the same part, and
	// home is the one of them for the deepest shared part.
	few  []ranked
	home *state
	// holders are where this router has sent the leading parts most recently,
	// by their number less one.
	holders []holder
}

// holder is an endpoint with the time at which it was last sent some parts, and
// a second one.
type holder struct {
	*state
	used   time.Time
	second *state
}

// ranked is an endpoint with its hash for a part.
type ranked struct {
	*state
	rank uint64
}

// newGroup returns the group without endpoints. The last part of a prompt is the
// request's own unless it is the only one.
func newGroup(s *boragewick.Selection, weights string) *group {
	g := &group{weights: weights, scope: s.CacheScope}
	if weights != "" {
		g.scope += "." + weights
	}
	shared := s.Prefix
	if len(shared) > 1 {
		shared = shared[:len(shared)-1]
	}
	for _, part := range shared {
		g.keys = append(g.keys, boragewick.CachedPartKey(g.scope, part.ID))
		g.sizes = append(g.sizes, part.Tokens)
	}
	g.holders = make([]holder, len(g.keys))
	return g
}

// add takes in an endpoint.
func (g *group) add(s *state, now time.Time) {
	g.size++
	if len(g.keys) == 0 {
		return
	}
	g.few = append(g.few, ranked{s, mix(g.keys[0], s.seed)})
	for i := range s.cached(g, now) {
		used := s.parts[g.keys[i]]
		h := &g.holders[i]
		if h.state == nil || used.After(h.used) {
			h.second = h.state
			h.state, h.used = s, used
		} else if h.second == nil {
			h.second = s
		}
	}
}

// settle finds the homes once all endpoints are added.
func (g *group) settle() {
	if len(g.keys) == 0 {
		return
	}
	slices.SortFunc(g.few, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	g.few = g.few[:min(len(g.few), max(fewLeast, g.size/fewShare))]
	deepest := g.keys[len(g.keys)-1]
	var best uint64
	for _, r := range g.few {
		if rank := mix(deepest, r.seed); g.home == nil || rank > best {
			g.home, best = r.state, rank
		}
	}
}

// expected returns how many leading parts the endpoint may have from other
// routers, when no agent tells.
func (g *group) expected(s *state) int {
	if s.observed != nil {
		return 0
	}
	if g.home == s {
		return len(g.keys)
	}
	if slices.ContainsFunc(g.few, func(r ranked) bool { return r.state == s }) {
		return 1
	}
	return 0
}

// source returns the endpoint from which s may fetch more than the parts that it
// has, and how many of the leading parts that one has. It is nil without one.
func (g *group) source(s *state, has int) (*state, int) {
	if g.weights == "" {
		return nil, 0 // what is cached may be of any weights
	}
	for i := len(g.holders) - 1; i >= has; i-- {
		h := &g.holders[i]
		if h.state != nil && h.state != s {
			return h.state, i + 1
		}
		if h.second != nil && h.second != s {
			return h.second, i + 1
		}
		if i == len(g.holders)-1 && g.home != nil && g.home != s && g.home.observed == nil {
			return g.home, i + 1 // other routers send the prompt there as well
		}
	}
	return nil, 0
}
