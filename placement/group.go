package placement

import (
	"cmp"
	"slices"
	"time"
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
	size int
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

// add takes in an endpoint.
func (g *group) add(s *state, keys []uint64, now time.Time) {
	g.size++
	if len(keys) == 0 {
		return
	}
	if g.holders == nil {
		g.holders = make([]holder, len(keys))
	}
	g.few = append(g.few, ranked{s, mix(keys[0], s.seed)})
	for i, key := range keys {
		used, ok := s.parts[key]
		if !ok || now.Sub(used) > partLife {
			return
		}
		h := &g.holders[i]
		if used.After(h.used) {
			h.second = h.state
			h.state, h.used = s, used
		} else if h.second == nil {
			h.second = s
		}
	}
}

// settle finds the homes once all endpoints are added.
func (g *group) settle(keys []uint64) {
	if len(keys) == 0 {
		return
	}
	slices.SortFunc(g.few, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	g.few = g.few[:min(len(g.few), max(fewLeast, g.size/fewShare))]
	deepest := keys[len(keys)-1]
	var best uint64
	for _, r := range g.few {
		if rank := mix(deepest, r.seed); g.home == nil || rank > best {
			g.home, best = r.state, rank
		}
	}
}

// expected returns how many leading parts the endpoint has from other routers.
func (g *group) expected(s *state, keys []uint64) int {
	if g.home == s {
		return len(keys)
	}
	if slices.ContainsFunc(g.few, func(r ranked) bool { return r.state == s }) {
		return 1
	}
	return 0
}

// source returns the endpoint from which s may fetch what it lacks, and how many
// of the leading parts that one is known to have. It is nil without one.
func (g *group) source(s *state) (*state, int) {
	for i := len(g.holders) - 1; i >= 0; i-- {
		h := &g.holders[i]
		if h.state != nil && h.state != s {
			return h.state, i + 1
		}
		if h.second != nil && h.second != s {
			return h.second, i + 1
		}
		if i == len(g.holders)-1 && g.home != nil && g.home != s {
			return g.home, i + 1 // other routers send the prompt there as well
		}
	}
	return nil, 0
}
