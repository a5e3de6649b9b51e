package admission

import (
	"math/bits"
	"slices"
)

const (
	// classTokens is the largest prompt of the first class; each further class
	// goes up to twice as many tokens.
	classTokens = 512
	classes     = 64
)

// batch is what the engine has.
type batch struct {
	running int
	// prefill is the number of prompt tokens without a first token, and
	// classed the same by class. counted takes each prompt for half of the
	// limit at most.
	prefill uint64
	counted uint64
	classed [classes]uint64
	// computing are the requests without a first token.
	computing []*slot
}

// class orders prompts by their length.
func class(prefill uint64) int { return min(bits.Len64(prefill/classTokens), classes-1) }

// fits reports whether there is room for the prompt. No prompt is passed by
// more tokens than it has itself.
func (b *batch) fits(prefill, limit uint64) bool {
	if b.prefill == 0 || prefill == 0 {
		return true
	}
	if b.counted+min(prefill, limit/2) > limit {
		return false
	}
	for _, s := range b.computing {
		if class(s.prefill) > class(prefill) && s.passed+prefill > s.prefill {
			return false
		}
	}
	return true
}

// enter adds a request.
func (b *batch) enter(s *slot, limit uint64) {
	b.running++
	if s.prefill == 0 {
		return
	}
	for _, other := range b.computing {
		if class(other.prefill) > class(s.prefill) {
			other.passed += s.prefill
		}
	}
	s.counted = min(s.prefill, limit/2)
	b.prefill += s.prefill
	b.counted += s.counted
	b.classed[class(s.prefill)] += s.prefill
	b.computing = append(b.computing, s)
}

// computed takes away the request's prompt.
func (b *batch) computed(s *slot) {
	i := slices.Index(b.computing, s)
	if i < 0 {
		return
	}
	b.computing = slices.Delete(b.computing, i, i+1)
	b.prefill -= s.prefill
	b.counted -= s.counted
	b.classed[class(s.prefill)] -= s.prefill
}

// ahead returns the prompt tokens that the engine computes before a new prompt.
func (b *batch) ahead(prefill uint64) uint64 {
	var tokens uint64
	for _, n := range b.classed[:class(prefill)+1] {
		tokens += n
	}
	return tokens
}
