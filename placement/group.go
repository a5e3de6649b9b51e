package placement

import "time"

// group are the endpoints that have the same version of a model's weights, and
// so may use each other's cached parts.
type group struct {
	// home is where all routers send a prompt by its deepest shared part.
	home *state
	rank uint64
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

// add takes in an endpoint.
func (g *group) add(s *state, keys []uint64, now time.Time) {
	if len(keys) == 0 {
		return
	}
	if g.holders == nil {
		g.holders = make([]holder, len(keys))
	}
	if rank := mix(keys[len(keys)-1], s.seed); g.home == nil || rank > g.rank {
		g.home, g.rank = s, rank
	}
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
