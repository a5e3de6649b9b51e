package admission

import (
	"math/bits"
	"slices"
)

const (
	// classTokens is the upper bound, exclusive, of prompt lengths in class 0;
	// the bound doubles with each further class.
	classTokens = 512
	numClasses  = 64
)

// batch is the set of requests that are running in the engine.
type batch struct {
	running int
	// prefill is the number of prompt tokens of requests that have had no
	// first token, and prefillByClass the same number by length class. counted
	// is the number that is compared with the limit; each prompt adds at most
	// half of the limit to it.
	prefill        uint64
	counted        uint64
	prefillByClass [numClasses]uint64
	// prefilling holds the requests with a prompt that have had no first token.
	prefilling []*slot
}

// lengthClass returns the class of a prompt by its length; shorter prompts are
// in lower classes.
func lengthClass(prefill uint64) int { return min(bits.Len64(prefill/classTokens), numClasses-1) }

// fits reports whether there is room for the prompt. A prompt that is being
// computed may be overtaken by at most as many tokens as it has itself.
func (b *batch) fits(prefill, limit uint64) bool {
	if b.prefill == 0 || prefill == 0 {
		return true
	}
	if b.counted+min(prefill, limit/2) > limit {
		return false
	}
	for _, s := range b.prefilling {
		if lengthClass(s.prefill) > lengthClass(prefill) && s.overtakenBy+prefill > s.prefill {
			return false
		}
	}
	return true
}

func (b *batch) add(s *slot, limit uint64) {
	b.running++
	if s.prefill == 0 {
		return
	}
	for _, other := range b.prefilling {
		if lengthClass(other.prefill) > lengthClass(s.prefill) {
			other.overtakenBy += s.prefill
		}
	}
	s.counted = min(s.prefill, limit/2)
	b.prefill += s.prefill
	b.counted += s.counted
	b.prefillByClass[lengthClass(s.prefill)] += s.prefill
	b.prefilling = append(b.prefilling, s)
}

// removePrefill removes the request's prompt; the request keeps running.
func (b *batch) removePrefill(s *slot) {
	i := slices.Index(b.prefilling, s)
	if i < 0 {
		return
	}
	b.prefilling = slices.Delete(b.prefilling, i, i+1)
	b.prefill -= s.prefill
	b.counted -= s.counted
	b.prefillByClass[lengthClass(s.prefill)] -= s.prefill
}

// ahead returns the number of prompt tokens that the engine computes before a
// new prompt of the given length: those of its own class and of shorter ones.
func (b *batch) ahead(prefill uint64) uint64 {
	var tokens uint64
	for _, n := range b.prefillByClass[:lengthClass(prefill)+1] {
		tokens += n
	}
	return tokens
}
