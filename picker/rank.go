package picker

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// missWeight is how much more a second of prefill counts than a second of
	// waiting, because it also takes the engine's time from other requests.
	missWeight = 1.2
	// awayWeight is added to missWeight at endpoints that are no home of the
	// prompt, because other routers may not look for it there.
	awayWeight = 0.35
	// jitter is the largest share that is added to a score at random.
	jitter = 0.05
	// jitterSeconds is the largest time that is added to a score at random.
	jitterSeconds = 0.001
)

// probe asks the candidates all at once and waits until they have answered or
// the time is up.
func (p *Picker) probe(ctx context.Context, s *boragewick.Selection, found []*candidate) {
	if p.Prober == nil {
		return
	}
	timeout := p.Timeout
	if timeout == 0 {
		timeout = ProbeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q := &boragewick.Probe{
		Workspace:    s.Workspace,
		Model:        s.Model,
		Blocks:       s.Blocks,
		PromptTokens: s.PromptTokens,
		Deadline:     s.Deadline,
	}
	answers := make(chan answer, len(found))
	for _, c := range found {
		go func() {
			r, err := p.Prober.Probe(ctx, &c.Endpoint, q)
			answers <- answer{c, r, err}
		}()
	}
	for range found {
		select {
		case a := <-answers:
			a.take(q)
		case <-ctx.Done():
			return
		}
	}
}

// answer is what came of one probe.
type answer struct {
	*candidate
	reply boragewick.ProbeReply
	err   error
}

// take keeps the answer. One from another run of the agent than the announced
// one does not count.
func (a *answer) take(q *boragewick.Probe) {
	if a.err != nil || a.reply.Incarnation != a.Incarnation {
		return
	}
	a.matched = min(max(a.reply.Matched, 0), len(q.Blocks))
	a.missing = missing(q.PromptTokens, a.matched)
	a.candidate.reply = &a.reply
}

// missing is the number of tokens to prefill.
func missing(promptTokens uint64, matched int) float64 {
	return max(float64(promptTokens)-float64(matched*boragewick.BlockTokens), 0)
}

// choice is a candidate with its expected time to the first token.
type choice struct {
	*candidate
	class   int
	score   float64
	seconds float64
}

// The classes of candidates, the best one first.
const (
	classAnswered = iota
	classSilent
	classRefused
)

// rank orders the candidates and notes that the first one gets the request.
func (p *Picker) rank(s *boragewick.Selection, found []*candidate) []boragewick.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	presumePace(found, now)
	choices := make([]choice, len(found))
	for i, f := range found {
		choices[i] = p.weigh(s, f, now)
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.score, b.score))
	})
	p.note(s, choices[0].candidate, now)
	out := make([]boragewick.Candidate, len(choices))
	for i, c := range choices {
		out[i] = boragewick.Candidate{
			Endpoint:   &c.Endpoint,
			Matched:    c.matched,
			FirstToken: now.Add(time.Duration(c.seconds * float64(time.Second))),
			Probed:     c.reply != nil,
		}
	}
	return out
}

// presumePace takes in the answers. Endpoints that have not measured their pace
// yet are taken to be as fast as the others.
func presumePace(found []*candidate, now time.Time) {
	sum, n := 0.0, 0.0
	for _, f := range found {
		if f.reply != nil {
			f.answer(f.reply, f.missing, now)
		}
		if f.measured {
			sum += f.secondsPerToken
			n++
		}
	}
	for _, f := range found {
		if !f.measured && n > 0 {
			f.secondsPerToken = sum / n
		}
	}
}

// weigh returns the expected seconds to the first token and the score.
func (p *Picker) weigh(s *boragewick.Selection, f *candidate, now time.Time) choice {
	c := choice{candidate: f, class: classSilent}
	if f.reply != nil {
		c.class = classAnswered
		if f.reply.Refuse {
			c.class = classRefused
		}
		c.seconds = f.wait() + f.inFlight(now)*f.secondsPerToken
	} else {
		f.missing = missing(s.PromptTokens, f.matched)
		c.seconds = f.backlog(now) + f.missing*f.secondsPerToken
	}
	c.score = c.seconds + (missWeight-1)*f.missing*f.secondsPerToken
	if !f.home {
		c.score += awayWeight * f.missing * f.secondsPerToken
	}
	c.score += c.score*jitter*p.rand.Float64() + jitterSeconds*p.rand.Float64()
	return c
}

// note remembers a dispatch.
func (p *Picker) note(s *boragewick.Selection, c *candidate, now time.Time) {
	c.dispatch(c.missing, now)
	for _, n := range levels(len(s.Blocks)) {
		p.memory.put(s.Blocks[n-1], c.member)
	}
}
