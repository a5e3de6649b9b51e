package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// memoryKeys bounds each of the two generations of a memory.
	memoryKeys = 32 << 10
	// memoryHolders is the number of endpoints remembered for a prefix.
	memoryHolders = 8
)

// memory remembers which members recently served a prefix. It keeps two
// generations and forgets the older one when the younger one is full.
type memory struct {
	young, old map[boragewick.BlockHash]holders
}

// holders are the members that served a prefix, the latest one first.
type holders [memoryHolders]*member

// choose returns of two random holders the one with the smaller backlog.
func (s *holders) choose(r *rand.Rand, now time.Time) *member {
	n := 0
	for n < len(s) && s[n] != nil {
		n++
	}
	if n == 0 {
		return nil
	}
	a, b := s[r.IntN(n)], s[r.IntN(n)]
	if b.backlog(now) < a.backlog(now) {
		return b
	}
	return a
}

// get returns the members that served the prefix.
func (t *memory) get(h boragewick.BlockHash) (holders, bool) {
	if s, ok := t.young[h]; ok {
		return s, true
	}
	s, ok := t.old[h]
	return s, ok
}

// put notes that m serves the prefix.
func (t *memory) put(h boragewick.BlockHash, m *member) {
	s, _ := t.get(h)
	i := slices.Index(s[:], m)
	if i < 0 {
		i = memoryHolders - 1
	}
	copy(s[1:i+1], s[:i])
	s[0] = m
	if t.young == nil || len(t.young) >= memoryKeys {
		t.old = t.young
		t.young = make(map[boragewick.BlockHash]holders)
	}
	t.young[h] = s
}
