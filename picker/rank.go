package picker

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// prefillWeight is the weight of a second of prefill relative to a second of
	// waiting. It is higher because prefill also takes the engine's time from other
	// requests.
	prefillWeight = 1.2
	// notHomeWeight is added to prefillWeight at endpoints that are not a home of
	// the prompt, because other routers may not look for it there.
	notHomeWeight = 0.35
	// jitterShare is the largest share of a score that is added to it at random.
	jitterShare = 0.05
	// jitterSeconds is the largest time that is added to a score at random.
	jitterSeconds = 0.001
)

// probe probes all candidates concurrently and waits until all have answered or
// the timeout has passed.
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
	results := make(chan probeResult, len(found))
	for _, c := range found {
		go func() {
			r, err := p.Prober.Probe(ctx, &c.Endpoint, q)
			results <- probeResult{c, r, err}
		}()
	}
	for range found {
		select {
		case a := <-results:
			a.apply(q)
		case <-ctx.Done():
			return
		}
	}
}

// probeResult is the result of one probe.
type probeResult struct {
	*candidate
	reply boragewick.ProbeReply
	err   error
}

// apply stores the reply in the candidate. A reply from another run of the agent
// than the announced one is ignored.
func (a *probeResult) apply(q *boragewick.Probe) {
	if a.err != nil || a.reply.Incarnation != a.Incarnation {
		return
	}
	a.matched = min(max(a.reply.Matched, 0), len(q.Blocks))
	a.prefillTokens = uncachedTokens(q.PromptTokens, a.matched)
	a.candidate.reply = &a.reply
}

// uncachedTokens is the number of tokens to prefill after the matched blocks.
func uncachedTokens(promptTokens uint64, matched int) float64 {
	return max(float64(promptTokens)-float64(matched*boragewick.BlockTokens), 0)
}

// scoredCandidate is a candidate with its score, where lower is better, and its
// expected time to the first token.
type scoredCandidate struct {
	*candidate
	class   int
	score   float64
	seconds float64
}

// The classes of candidates, the best one first.
const (
	classAnswered = iota
	classUnanswered
	classRefused
)

// rank orders the candidates and records that the first one gets the request.
func (p *Picker) rank(s *boragewick.Selection, found []*candidate) []boragewick.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	applyReplies(found, now)
	scored := make([]scoredCandidate, len(found))
	for i, f := range found {
		scored[i] = p.evaluate(s, f, now)
	}
	slices.SortStableFunc(scored, func(a, b scoredCandidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.score, b.score))
	})
	p.recordDispatch(s, scored[0].candidate, now)
	out := make([]boragewick.Candidate, len(scored))
	for i, c := range scored {
		out[i] = boragewick.Candidate{
			Endpoint:   &c.Endpoint,
			Matched:    c.matched,
			FirstToken: now.Add(time.Duration(c.seconds * float64(time.Second))),
			Probed:     c.reply != nil,
		}
	}
	return out
}

// applyReplies records the replies. Endpoints without a measured prefill speed are
// assumed to be as fast as the average of the others.
func applyReplies(found []*candidate, now time.Time) {
	sum, n := 0.0, 0.0
	for _, f := range found {
		if f.reply != nil {
			f.recordReply(f.reply, f.prefillTokens, now)
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

// evaluate returns the expected seconds to the first token and the score.
func (p *Picker) evaluate(s *boragewick.Selection, f *candidate, now time.Time) scoredCandidate {
	c := scoredCandidate{candidate: f, class: classUnanswered}
	if f.reply != nil {
		c.class = classAnswered
		if f.reply.Refuse {
			c.class = classRefused
		}
		c.seconds = f.firstTokenSeconds() + f.inFlightTokens(now)*f.secondsPerToken
	} else {
		f.prefillTokens = uncachedTokens(s.PromptTokens, f.matched)
		c.seconds = f.backlogSeconds(now) + f.prefillTokens*f.secondsPerToken
	}
	c.score = c.seconds + (prefillWeight-1)*f.prefillTokens*f.secondsPerToken
	if !f.home {
		c.score += notHomeWeight * f.prefillTokens * f.secondsPerToken
	}
	c.score += c.score*jitterShare*p.rand.Float64() + jitterSeconds*p.rand.Float64()
	return c
}

// recordDispatch records that the candidate gets the request.
func (p *Picker) recordDispatch(s *boragewick.Selection, c *candidate, now time.Time) {
	c.recordSent(c.prefillTokens, now)
	for _, n := range prefixLengths(len(s.Blocks)) {
		p.history.put(s.Blocks[n-1], c.member)
	}
}
