package headroom

import (
	"hash/maphash"
	"math"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// rankCount is the number of ranks that are told apart; less urgent ones count as the
	// last one.
	rankCount = 32
	// rankTTL is how long after its last request a rank counts as in use. It is longer than
	// the pauses between the bursts that make engines run out of memory.
	rankTTL = 5 * time.Second
	// reportLag is how long it takes until the report of an engine's agent includes
	// a request that this router has admitted: agents poll their engine every 20 ms and
	// report every 32 ms to 24 routers.
	reportLag = 80 * time.Millisecond
	// defaultShare is the share of an engine's memory that a request is assumed to take if
	// the memory is unknown. It is that of a long prompt on the smallest engine seen.
	defaultShare = 0.03
	// debtSeconds is the time constant with which the tokens that a workspace was given
	// beyond the others are forgotten while it has no requests waiting.
	debtSeconds = 2.0
	// mixSeconds is the time constant of the shares of ranks in what was admitted. It is the
	// time that a run of some 50 events takes.
	mixSeconds = 4.0
	// idleAfter is when an unused queue is dropped.
	idleAfter = 30 * time.Second
)

// queue holds the requests that wait for the engines of one pool and what is known of that
// pool. It is guarded by Headroom.mu.
type queue struct {
	ranks      [rankCount]rankState
	advancedAt time.Time
	usedAt     time.Time
	// recent are the requests admitted within reportLag, in order.
	recent []*admission
	seed   maphash.Seed
}

// rankState is what a queue knows of the requests of one rank.
type rankState struct {
	workspaces map[string]*turn
	// turns are the workspaces in the order of their first request.
	turns []*turn
	// given are the tokens that the workspace that was served last had been given.
	given float64
	// waiting is the number of requests that wait, and tokens their sum.
	waiting int
	tokens  float64
	// waitingSince is since when there were always some that wait.
	waitingSince time.Time
	seenAt       time.Time
	// admitted are the tokens of admitted requests, decaying with mixSeconds.
	admitted float64
	forecast
}

// turn is the state of a workspace within a rank.
type turn struct {
	workspace string
	waiters   []*waiter
	tokens    float64
	// given are the tokens that it was given, in the virtual time of the rank: a workspace
	// that has had no requests waiting continues at the rank's time, plus what is left of
	// its lead.
	given  float64
	idleAt time.Time
	rate
}

// waiter is a request that is decided on.
type waiter struct {
	request *boragewick.HeadroomRequest
	rank    int
	tokens  float64
	since   time.Time
	// memoryUse is that of the best candidate when it was last selected.
	memoryUse float64
	// wait is its newest forecast of the time until it is admitted.
	wait time.Duration
	// forecastAt is when it was expected to be admitted as it began to wait, if
	// forecastKnown is set.
	forecastAt    time.Time
	forecastKnown bool
	// queue is nil unless the request waits in it.
	queue  *queue
	result chan outcome // receives one value
}

// admission is a request that was admitted and may not be part of its engine's report.
type admission struct {
	endpoint string
	rank     int
	at       time.Time
	// share is the share of the engine's memory that isn't part of MemoryUse, and
	// outputShare what of it remains once the Placer counts the prompt.
	share, outputShare float64
}

func newWaiter(r *boragewick.HeadroomRequest, now time.Time) *waiter {
	return &waiter{
		request: r, rank: min(max(0, r.Rank), rankCount-1), since: now,
		tokens: float64(max(1, r.PromptTokens+r.OutputTokens)), result: make(chan outcome, 1),
	}
}

// shareOf returns the share of the engine's memory that the tokens take.
func (w *waiter) shareOf(tokens int) float64 {
	if w.request.EngineTokens <= 0 {
		return defaultShare
	}
	return float64(tokens) / float64(w.request.EngineTokens)
}

// shares returns the shares of the candidate's memory that the request and its output take.
func (w *waiter) shares(c *boragewick.Candidate) (all, output float64) {
	missing := max(0, w.request.PromptTokens-c.Matched)
	return w.shareOf(missing + w.request.OutputTokens), w.shareOf(w.request.OutputTokens)
}

// level returns the number of more urgent ranks in use.
func (q *queue) level(rank int, now time.Time) int {
	level := 0
	for i := range rank {
		if s := &q.ranks[i]; s.waiting > 0 || now.Sub(s.seenAt) < rankTTL {
			level++
		}
	}
	return level
}

// admit accounts for a request that is sent to the candidate.
func (q *queue) admit(w *waiter, c *boragewick.Candidate, now time.Time) {
	all, output := w.shares(c)
	q.recent = append(q.recent, &admission{endpoint: c.Endpoint.Name, rank: w.rank, at: now, share: all, outputShare: output})
	s := &q.ranks[w.rank]
	s.admitted += w.tokens
}

// advance brings what decays with time up to date. It is called before each change.
func (q *queue) advance(now time.Time) {
	seconds := max(0, now.Sub(q.advancedAt).Seconds())
	q.advancedAt = now
	mix := math.Exp(-seconds / mixSeconds)
	factor := math.Exp(-seconds / rateSeconds)
	waits := false
	for i := range q.ranks {
		s := &q.ranks[i]
		waits = waits || s.waiting > 0
		s.admitted *= mix
		s.decay(factor, seconds, waits)
		for _, t := range s.turns {
			t.decay(factor, seconds, len(t.waiters) > 0)
		}
	}
	old := 0
	for old < len(q.recent) && now.Sub(q.recent[old].at) >= reportLag {
		old++
	}
	q.recent = slices.Delete(q.recent, 0, old)
}

// waitsUpTo reports whether requests of the rank or more urgent ones wait.
func (q *queue) waitsUpTo(rank int) bool {
	for i := range rank + 1 {
		if q.ranks[i].waiting > 0 {
			return true
		}
	}
	return false
}

// add makes the request wait.
func (q *queue) add(w *waiter) {
	s := &q.ranks[w.rank]
	if s.workspaces == nil {
		s.workspaces = map[string]*turn{}
	}
	now := q.newTurn(w)
	t := s.workspaces[w.request.Workspace]
	if t == nil {
		t = &turn{workspace: w.request.Workspace}
		s.workspaces[w.request.Workspace] = t
		s.turns = append(s.turns, t)
	}
	t.given = now.given
	t.waiters = append(t.waiters, w)
	t.tokens += w.tokens
	if s.waiting == 0 {
		s.waitingSince = w.since
	}
	s.waiting++
	s.tokens += w.tokens
	w.queue = q
}

// newTurn returns the state of its workspace with which a request that arrives begins to wait.
func (q *queue) newTurn(w *waiter) turn {
	s := &q.ranks[w.rank]
	t := s.workspaces[w.request.Workspace]
	switch {
	case t == nil:
		return turn{given: s.given}
	case len(t.waiters) == 0:
		lead := max(0, t.given-s.given) * math.Exp(-w.since.Sub(t.idleAt).Seconds()/debtSeconds)
		return turn{given: s.given + lead}
	default:
		return turn{given: t.given, tokens: t.tokens}
	}
}

// remove ends the wait without serving the request.
func (q *queue) remove(w *waiter) {
	s := &q.ranks[w.rank]
	t := s.workspaces[w.request.Workspace]
	i := slices.Index(t.waiters, w)
	t.waiters = slices.Delete(t.waiters, i, i+1)
	t.tokens -= w.tokens
	s.waiting--
	s.tokens -= w.tokens
	w.queue = nil
	if len(t.waiters) == 0 {
		t.idleAt, t.tokens = q.advancedAt, 0
	}
	if s.waiting == 0 {
		s.tokens = 0
		s.forget(q.advancedAt)
	}
}

// forget drops the workspaces without requests whose lead is forgotten.
func (s *rankState) forget(now time.Time) {
	s.turns = slices.DeleteFunc(s.turns, func(t *turn) bool {
		old := len(t.waiters) == 0 && now.Sub(t.idleAt).Seconds() > 3*debtSeconds
		if old {
			delete(s.workspaces, t.workspace)
		}
		return old
	})
}

// released charges the workspace for a request that was admitted after waiting.
func (q *queue) released(w *waiter) {
	s := &q.ranks[w.rank]
	t := s.workspaces[w.request.Workspace]
	s.given = max(s.given, t.given)
	t.given += w.tokens
	t.released += w.tokens
	for i := w.rank; i < rankCount; i++ {
		q.ranks[i].released += w.tokens
	}
}

// next returns the request to admit next, or nil if none waits: of the most urgent rank, the
// first one of the workspace that was given the fewest tokens.
func (q *queue) next() *waiter {
	for i := range q.ranks {
		s := &q.ranks[i]
		if s.waiting == 0 {
			continue
		}
		var best *turn
		for _, t := range s.turns {
			if len(t.waiters) > 0 && (best == nil || t.before(best)) {
				best = t
			}
		}
		return best.waiters[0]
	}
	return nil
}

// before reports whether the workspace is served before the other one.
func (t *turn) before(u *turn) bool {
	if t.given != u.given {
		return t.given < u.given
	}
	return t.waiters[0].since.Before(u.waiters[0].since)
}

// takeHopeless removes the requests that can't be served in time and returns them in the order
// of their arrival. One that is removed doesn't count as ahead of the others.
func (q *queue) takeHopeless(now time.Time) []*waiter {
	var out []*waiter
	for i := range q.ranks {
		if q.ranks[i].waiting == 0 {
			continue
		}
		for _, t := range slices.Clone(q.ranks[i].turns) {
			before := 0.0
			for _, w := range slices.Clone(t.waiters) {
				if w.wait, _ = q.forecastWait(w, before); q.hopeless(w, w.wait, now) {
					q.remove(w)
					out = append(out, w)
				} else {
					before += w.tokens
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *waiter) int { return a.since.Compare(b.since) })
	return out
}

// idle reports whether the queue is no longer used.
func (q *queue) idle(now time.Time) bool {
	return !q.waitsUpTo(rankCount-1) && now.Sub(q.usedAt) > idleAfter
}
