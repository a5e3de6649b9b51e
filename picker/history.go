package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// generationSize bounds each of the two generations of a prefixHistory.
	generationSize = 32 << 10
	// holdersPerPrefix is the number of endpoints remembered for a prefix.
	holdersPerPrefix = 8
)

// prefixHistory records which members recently served a prefix. It keeps two
// generations and drops the older one when the younger one is full.
type prefixHistory struct {
	young, old map[boragewick.BlockHash]holders
}

// holders are the members that served a prefix, the latest one first.
type holders [holdersPerPrefix]*member

// lessBusy returns the one of two random holders that has the smaller backlog.
func (s *holders) lessBusy(r *rand.Rand, now time.Time) *member {
	n := 0
	for n < len(s) && s[n] != nil {
		n++
	}
	if n == 0 {
		return nil
	}
	a, b := s[r.IntN(n)], s[r.IntN(n)]
	if b.backlogSeconds(now) < a.backlogSeconds(now) {
		return b
	}
	return a
}

// get returns the members that served the prefix.
func (t *prefixHistory) get(h boragewick.BlockHash) (holders, bool) {
	if s, ok := t.young[h]; ok {
		return s, true
	}
	s, ok := t.old[h]
	return s, ok
}

// put records that m serves the prefix.
func (t *prefixHistory) put(h boragewick.BlockHash, m *member) {
	s, _ := t.get(h)
	i := slices.Index(s[:], m)
	if i < 0 {
		i = holdersPerPrefix - 1
	}
	copy(s[1:i+1], s[:i])
	s[0] = m
	if t.young == nil || len(t.young) >= generationSize {
		t.old = t.young
		t.young = make(map[boragewick.BlockHash]holders)
	}
	t.young[h] = s
}
