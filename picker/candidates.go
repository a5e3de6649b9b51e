package picker

import (
	"math/bits"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// FirstProbes is the number of endpoints that are asked at first: up to
	// knownProbes that are remembered, then homes, then others, of which there
	// is always one.
	FirstProbes = 5
	knownProbes = 1
	// maxHomes is the number of levels whose first rendezvous choices are the
	// homes of a prompt.
	maxHomes = 3
	// moreProbes is the number asked besides when all of the first are busy.
	moreProbes = 4
	// busySeconds is the queue from which an endpoint counts as busy.
	busySeconds = 0.25
	// deepestLevel bounds the levels of a prompt: the first one is one block
	// and each further one is twice as long.
	deepestLevel = 16
)

// candidate is a member with what is known of it for one request.
type candidate struct {
	*member
	matched int
	// missing is the number of prompt tokens to prefill.
	missing float64
	// home tells that every router asks the endpoint for prompts like this one.
	home  bool
	reply *boragewick.ProbeReply
}

// levels returns the numbers of blocks of the prefixes by which a prompt is
// looked up, the longest one first: the whole prompt and powers of two.
func levels(n int) []int {
	out := make([]int, 0, deepestLevel+1)
	if n > 0 {
		out = append(out, n)
	}
	for i := deepestLevel; i >= 0; i-- {
		if 1<<i < n {
			out = append(out, 1<<i)
		}
	}
	return out
}

// search gathers different candidates for one request.
type search struct {
	*group
	s     *boragewick.Selection
	found []*candidate
	limit int
}

// take adds a member unless it is known, unwanted or too many.
func (c *search) take(m *member, matched int) {
	if m == nil || m.gone || len(c.found) >= c.limit {
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

// candidates returns the endpoints to ask first.
func (p *Picker) candidates(s *boragewick.Selection) []*candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupKey{pool: s.Pool, kind: s.Kind, model: s.Model}]
	if g == nil {
		return nil
	}
	now := p.now()
	c := search{group: g, s: s, limit: knownProbes}
	depths := levels(len(s.Blocks))
	p.remembered(&c, depths, now)
	c.limit = FirstProbes - 1
	c.homes(depths)
	c.limit = FirstProbes
	p.anyDomain(&c, now)
	p.anyOf(&c, now)
	p.others(&c)
	return c.found
}

// remembered takes members that served the longest known prefixes. Of many
// that served the same one it takes the one with less to do of two at random.
func (p *Picker) remembered(c *search, depths []int, now time.Time) {
	for _, n := range depths {
		hs, ok := p.memory.get(c.s.Blocks[n-1])
		if !ok {
			continue
		}
		c.take(hs.choose(p.rand, now), n)
		for _, m := range hs {
			c.take(m, n)
		}
		if len(c.found) > 0 {
			return
		}
	}
}

// homes takes the first rendezvous choices of the longest levels that other
// prompts can share.
func (c *search) homes(depths []int) {
	if len(depths) > 0 && bits.OnesCount(uint(depths[0])) != 1 {
		depths = depths[1:]
	}
	for _, n := range depths[:min(maxHomes, len(depths))] {
		m := c.at(c.s.Blocks[n-1])[0]
		c.take(m, 0)
		for _, f := range c.found {
			f.home = f.home || f.member == m
		}
	}
}

// anyDomain takes a member of another failure domain when all candidates are
// in the same one.
func (p *Picker) anyDomain(c *search, now time.Time) {
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
		for _, m := range c.at(c.s.Blocks[0]) {
			if m.FailureDomain != domain {
				c.take(m, 0)
				return
			}
		}
	}
	for range FirstProbes {
		if m := p.random(c.group, now); m.FailureDomain != domain {
			c.take(m, 0)
			return
		}
	}
}

// anyOf fills up with random members, of two the one with less to do.
func (p *Picker) anyOf(c *search, now time.Time) {
	for range 2 * c.limit {
		if len(c.found) >= c.limit {
			return
		}
		c.take(p.random(c.group, now), 0)
	}
}

// others makes sure that some member is found if any is wanted.
func (p *Picker) others(c *search) {
	if len(c.found) > 0 {
		return
	}
	start := p.rand.IntN(len(c.members))
	for i := range c.members {
		c.take(c.members[(start+i)%len(c.members)], 0)
	}
}

// random returns of two random members the one with the smaller backlog.
func (p *Picker) random(g *group, now time.Time) *member {
	a := g.members[p.rand.IntN(len(g.members))]
	b := g.members[p.rand.IntN(len(g.members))]
	if b.backlog(now) < a.backlog(now) {
		return b
	}
	return a
}

// widen returns further endpoints to ask when all that answered are busy.
func (p *Picker) widen(s *boragewick.Selection, found []*candidate) []*candidate {
	for _, f := range found {
		if f.reply != nil && f.queuedSeconds() < busySeconds {
			return nil
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[groupKey{pool: s.Pool, kind: s.Kind, model: s.Model}]
	if g == nil {
		return nil
	}
	c := search{group: g, s: s, found: slices.Clone(found), limit: len(found) + moreProbes}
	depths := levels(len(s.Blocks))
	if len(depths) > 1 {
		for _, m := range g.at(s.Blocks[depths[1]-1]) {
			c.take(m, 0)
		}
	}
	p.anyOf(&c, p.now())
	return c.found[len(found):]
}

// queuedSeconds is the time that the work ahead of the request takes.
func (c *candidate) queuedSeconds() float64 {
	work := float64(c.reply.Queued) + c.missing
	if work == 0 {
		return c.wait()
	}
	return c.wait() * float64(c.reply.Queued) / work
}

// wait is the time to the first token by the agent's answer, or worked out from
// the remembered pace when the agent has not measured its own.
func (c *candidate) wait() float64 {
	seconds := c.reply.FirstToken.Sub(c.reply.Now).Seconds()
	if seconds > 0 {
		return seconds
	}
	return (float64(c.reply.Queued) + c.missing) * c.secondsPerToken
}
