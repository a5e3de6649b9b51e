package picker

import (
	"math/bits"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// FirstProbes is the number of endpoints that are probed at first: up to
	// rememberedProbes that are remembered for the prompt's prefix, then homes,
	// then others, of which there is always one.
	FirstProbes      = 5
	rememberedProbes = 1
	// maxHomes is the number of prefix lengths whose first rendezvous choices are
	// the homes of a prompt.
	maxHomes = 3
	// extraProbes is the number of further endpoints that are probed if all of the
	// first ones are busy.
	extraProbes = 4
	// busyQueueSeconds is the queueing time from which an endpoint counts as busy.
	busyQueueSeconds = 0.25
	// maxPrefixExponent bounds the prefix lengths of a prompt: the shortest one is
	// one block and each further one is twice as long.
	maxPrefixExponent = 16
)

// candidate is a member with what is known of it for one request.
type candidate struct {
	*member
	matched int
	// prefillTokens is the number of prompt tokens to prefill.
	prefillTokens float64
	// home is set if every router probes the endpoint for prompts like this one.
	home  bool
	reply *boragewick.ProbeReply
}

// prefixLengths returns the lengths, in blocks, of the prefixes by which a prompt
// of n blocks is looked up, the longest one first: the whole prompt and powers of
// two.
func prefixLengths(n int) []int {
	out := make([]int, 0, maxPrefixExponent+1)
	if n > 0 {
		out = append(out, n)
	}
	for i := maxPrefixExponent; i >= 0; i-- {
		if 1<<i < n {
			out = append(out, 1<<i)
		}
	}
	return out
}

// candidateSearch collects distinct candidates for one request.
type candidateSearch struct {
	*group
	s     *boragewick.Selection
	found []*candidate
	limit int
}

// tryAdd adds a member unless it was removed, is a candidate already, is to be
// avoided or would exceed the limit.
func (c *candidateSearch) tryAdd(m *member, matched int) {
	if m == nil || m.removed || len(c.found) >= c.limit {
		return
	}
	if slices.ContainsFunc(c.found, func(f *candidate) bool { return f.member == m }) {
		return
	}
	if c.s.Avoid != nil && c.s.Avoid(m.Name) {
		return
	}
	c.found = append(c.found, &candidate{member: m, matched: matched})
}

// initialCandidates returns the endpoints to probe first.
func (p *Picker) initialCandidates(s *boragewick.Selection) []*candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupKey{pool: s.Pool, kind: s.Kind, model: s.Model}]
	if g == nil {
		return nil
	}
	now := p.now()
	c := candidateSearch{group: g, s: s, limit: rememberedProbes}
	lengths := prefixLengths(len(s.Blocks))
	p.addRemembered(&c, lengths, now)
	c.limit = FirstProbes - 1
	c.addHomes(lengths)
	c.limit = FirstProbes
	p.addOtherDomain(&c, now)
	p.fillRandomly(&c, now)
	p.ensureCandidate(&c)
	return c.found
}

// addRemembered adds members that served the longest remembered prefix. Of several
// it prefers the less busy one of two chosen at random.
func (p *Picker) addRemembered(c *candidateSearch, lengths []int, now time.Time) {
	for _, n := range lengths {
		hs, ok := p.history.get(c.s.Blocks[n-1])
		if !ok {
			continue
		}
		c.tryAdd(hs.lessBusy(p.rand, now), n)
		for _, m := range hs {
			c.tryAdd(m, n)
		}
		if len(c.found) > 0 {
			return
		}
	}
}

// addHomes adds the first rendezvous choices for the longest prefix lengths that
// other prompts can share, which are powers of two.
func (c *candidateSearch) addHomes(lengths []int) {
	if len(lengths) > 0 && bits.OnesCount(uint(lengths[0])) != 1 {
		lengths = lengths[1:]
	}
	for _, n := range lengths[:min(maxHomes, len(lengths))] {
		m := c.rankedFor(c.s.Blocks[n-1])[0]
		c.tryAdd(m, 0)
		for _, f := range c.found {
			f.home = f.home || f.member == m
		}
	}
}

// addOtherDomain adds a member of another failure domain if all candidates are in
// the same one.
func (p *Picker) addOtherDomain(c *candidateSearch, now time.Time) {
	if len(c.found) == 0 {
		return
	}
	domain := c.found[0].FailureDomain
	for _, f := range c.found {
		if f.FailureDomain != domain {
			return
		}
	}
	if len(c.s.Blocks) > 0 {
		for _, m := range c.rankedFor(c.s.Blocks[0]) {
			if m.FailureDomain != domain {
				c.tryAdd(m, 0)
				return
			}
		}
	}
	for range FirstProbes {
		if m := p.randomMember(c.group, now); m.FailureDomain != domain {
			c.tryAdd(m, 0)
			return
		}
	}
}

// fillRandomly fills up with random members, each the less busy one of two.
func (p *Picker) fillRandomly(c *candidateSearch, now time.Time) {
	for range 2 * c.limit {
		if len(c.found) >= c.limit {
			return
		}
		c.tryAdd(p.randomMember(c.group, now), 0)
	}
}

// ensureCandidate adds members from a random position on if there is no candidate
// yet, so that one is found unless all members are to be avoided.
func (p *Picker) ensureCandidate(c *candidateSearch) {
	if len(c.found) > 0 {
		return
	}
	start := p.rand.IntN(len(c.members))
	for i := range c.members {
		c.tryAdd(c.members[(start+i)%len(c.members)], 0)
	}
}

// randomMember returns the one of two random members that has the smaller backlog.
func (p *Picker) randomMember(g *group, now time.Time) *member {
	a := g.members[p.rand.IntN(len(g.members))]
	b := g.members[p.rand.IntN(len(g.members))]
	if b.backlogSeconds(now) < a.backlogSeconds(now) {
		return b
	}
	return a
}

// extraCandidates returns further endpoints to probe if all that answered are busy.
func (p *Picker) extraCandidates(s *boragewick.Selection, found []*candidate) []*candidate {
	for _, f := range found {
		if f.reply != nil && f.queuedSeconds() < busyQueueSeconds {
			return nil
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupKey{pool: s.Pool, kind: s.Kind, model: s.Model}]
	if g == nil {
		return nil
	}
	c := candidateSearch{group: g, s: s, found: slices.Clone(found), limit: len(found) + extraProbes}
	lengths := prefixLengths(len(s.Blocks))
	if len(lengths) > 1 {
		for _, m := range g.rankedFor(s.Blocks[lengths[1]-1]) {
			c.tryAdd(m, 0)
		}
	}
	p.fillRandomly(&c, p.now())
	return c.found[len(found):]
}

// queuedSeconds is the time that the work ahead of the request takes.
func (c *candidate) queuedSeconds() float64 {
	work := float64(c.reply.Queued) + c.prefillTokens
	if work == 0 {
		return c.firstTokenSeconds()
	}
	return c.firstTokenSeconds() * float64(c.reply.Queued) / work
}

// firstTokenSeconds is the time to the first token in the agent's reply, or an
// estimate from the remembered prefill speed if the agent has not measured its own.
func (c *candidate) firstTokenSeconds() float64 {
	seconds := c.reply.FirstToken.Sub(c.reply.Now).Seconds()
	if seconds > 0 {
		return seconds
	}
	return (float64(c.reply.Queued) + c.prefillTokens) * c.secondsPerToken
}
