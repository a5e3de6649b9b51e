package picker

import (
	"cmp"
	"math"
	"slices"

	"github.com/boragewick/boragewick"
)

const (
	// slotCount is the number of rendezvous keys; block hashes are reduced to them
	// modulo slotCount.
	slotCount = 4096
	// ranksPerSlot is the number of members ranked for a slot.
	ranksPerSlot = 6
)

// groupKey identifies the endpoints that can take the same requests.
type groupKey struct {
	pool  string
	kind  boragewick.EndpointKind
	model boragewick.Model
}

// group ranks its members for each slot by weighted rendezvous hashing. A slot's
// ranking is computed on first use and discarded when a change affects it. It
// includes a member of another failure domain than the first one's, in the last
// place if need be, if there is any.
type group struct {
	members []*member
	ranked  [slotCount][]*member
}

// rankedFor returns the ranked members of the slot of a block hash.
func (g *group) rankedFor(h boragewick.BlockHash) []*member {
	slot := h % slotCount
	if g.ranked[slot] == nil {
		g.ranked[slot] = g.rankMembers(uint64(slot))
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
		if len(r) < ranksPerSlot || precedes(uint64(i), m, last) || m.FailureDomain != r[0].FailureDomain && !spansDomains(r) {
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

// scoredMember is a member with its rendezvous score; the lowest score ranks first.
type scoredMember struct {
	*member
	score float64
}

// rankMembers returns the members that rank first for a slot.
func (g *group) rankMembers(slot uint64) []*member {
	best := make([]scoredMember, 0, ranksPerSlot+1)
	for _, m := range g.members {
		best = insertByScore(best, scoredMember{m, score(slot, m)})
	}
	out := make([]*member, len(best), ranksPerSlot)
	for i, s := range best {
		out[i] = s.member
	}
	if len(out) < ranksPerSlot || spansDomains(out) {
		return out
	}
	var other scoredMember
	for _, m := range g.members {
		s := score(slot, m)
		if m.FailureDomain != out[0].FailureDomain && (other.member == nil || s < other.score) {
			other = scoredMember{m, s}
		}
	}
	if other.member != nil {
		out[ranksPerSlot-1] = other.member
	}
	return out
}

// insertByScore inserts s into best, which is in ascending order, and keeps the
// ranksPerSlot lowest scores.
func insertByScore(best []scoredMember, s scoredMember) []scoredMember {
	if len(best) == ranksPerSlot && s.score >= best[ranksPerSlot-1].score {
		return best
	}
	i, _ := slices.BinarySearchFunc(best, s, func(a, b scoredMember) int { return cmp.Compare(a.score, b.score) })
	best = slices.Insert(best, i, s)
	return best[:min(len(best), ranksPerSlot)]
}

func spansDomains(members []*member) bool {
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
