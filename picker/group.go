package picker

import (
	"cmp"
	"math"
	"slices"

	"github.com/boragewick/boragewick"
)

const (
	// slots is the number of rendezvous keys; block hashes are folded onto them.
	slots = 4096
	// ranks is the number of members kept for a slot.
	ranks = 6
)

// groupKey names the endpoints that can take the same requests.
type groupKey struct {
	pool  string
	kind  boragewick.EndpointKind
	model boragewick.Model
}

// group ranks its members for each slot by weighted rendezvous hashing. Ranks
// are computed when a slot is first used and dropped when a change touches
// them. The last rank is always in another failure domain than the first one,
// if there is any.
type group struct {
	members []*member
	ranked  [slots][]*member
}

// at returns the ranked members of the slot of a block hash.
func (g *group) at(h boragewick.BlockHash) []*member {
	slot := h % slots
	if g.ranked[slot] == nil {
		g.ranked[slot] = g.rank(uint64(slot))
	}
	return g.ranked[slot]
}

func (g *group) add(m *member) {
	g.members = append(g.members, m)
	for i, r := range g.ranked {
		if r == nil {
			continue
		}
		last := r[len(r)-1]
		if len(r) < ranks || precedes(uint64(i), m, last) || m.FailureDomain != r[0].FailureDomain && !otherDomain(r) {
			g.ranked[i] = nil
		}
	}
}

func (g *group) remove(m *member) {
	i := slices.Index(g.members, m)
	g.members = slices.Delete(g.members, i, i+1)
	for i, r := range g.ranked {
		if slices.Contains(r, m) {
			g.ranked[i] = nil
		}
	}
}

// scored is a member with its rendezvous score; the lowest one wins.
type scored struct {
	*member
	score float64
}

// rank returns the best members for a slot.
func (g *group) rank(slot uint64) []*member {
	best := make([]scored, 0, ranks+1)
	for _, m := range g.members {
		best = insert(best, scored{m, score(slot, m)})
	}
	out := make([]*member, len(best), ranks)
	for i, s := range best {
		out[i] = s.member
	}
	if len(out) < ranks || otherDomain(out) {
		return out
	}
	var other scored
	for _, m := range g.members {
		s := score(slot, m)
		if m.FailureDomain != out[0].FailureDomain && (other.member == nil || s < other.score) {
			other = scored{m, s}
		}
	}
	if other.member != nil {
		out[ranks-1] = other.member
	}
	return out
}

// insert keeps the lowest scores in order.
func insert(best []scored, s scored) []scored {
	if len(best) == ranks && s.score >= best[ranks-1].score {
		return best
	}
	i, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	best = slices.Insert(best, i, s)
	return best[:min(len(best), ranks)]
}

func otherDomain(members []*member) bool {
	return slices.ContainsFunc(members, func(m *member) bool {
		return m.FailureDomain != members[0].FailureDomain
	})
}

// precedes reports whether a ranks before b.
func precedes(slot uint64, a, b *member) bool {
	return score(slot, a) < score(slot, b)
}

// score is exponentially distributed with the weight as its rate, so that each
// member comes first in a share of the slots that matches its weight.
func score(slot uint64, m *member) float64 {
	u := float64(mix(m.seed^(slot+1)*0x9e3779b97f4a7c15)>>11+1) / (1 << 53)
	return -math.Log(u) / m.weight
}

// mix is the finalizer of SplitMix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
