package headroom

import (
	"time"
)

const (
	// rateSeconds is the time constant of the rate at which waiting requests are admitted.
	rateSeconds = 1.5
	// minRateSeconds is for how long requests must have waited before that rate is used.
	minRateSeconds = 0.3
	// engineMargin is how many times the time that is left an engine's forecast must be for
	// the request to be refused: the time that work takes at an engine varies by a factor of
	// 1.3 to 2.5. waitMargin is the same for the forecast of a wait at the router, which is
	// made from the rate of the last seconds.
	engineMargin = 1.5
	waitMargin   = 1.1
	// standingFraction is the part of the target latency up to which a request may wait at
	// the router once others have waited for as long as callers wait, without a pause. In an
	// overload that lasts, engines serve the same number of requests however long these
	// wait, and a short queue serves them in time and is soon gone when the overload ends.
	standingFraction = 0.75
	// minLead is the least time from the admission of a request to its first token.
	minLead = 40 * time.Millisecond
	// leadDivisor sets the weight of a new sample in the average lead.
	leadDivisor = 8
	// returnDivisor is the part of its remaining time within which a caller that was refused
	// comes back.
	returnDivisor = 3
	// minReturn and minReturnGap are the least time after which a refused caller may come
	// back, and the least time between two of them.
	minReturn    = 100 * time.Millisecond
	minReturnGap = time.Millisecond
	// maxWait is what a longer forecast is taken as.
	maxWait = time.Hour
)

// forecast is what the forecast for the requests of one rank is made from.
type forecast struct {
	// rate is that of requests of this rank and of more urgent ones.
	rate
	// lead is the average time from the admission of a request to its first event, and
	// deviation the average difference from it.
	lead, deviation time.Duration
	// returnAt is when the caller that was refused last is to come back, and freeAt when
	// there is a place beside those of the callers that are expected to come back.
	returnAt, freeAt time.Time
}

// rate is the rate at which waiting requests are admitted.
type rate struct {
	// released are the tokens of requests that were admitted after waiting, and seconds the
	// time for which requests waited. Both decay with rateSeconds.
	released, seconds float64
}

// decay applies the factor. waits reports whether requests have waited for the seconds.
func (r *rate) decay(factor, seconds float64, waits bool) {
	r.released *= factor
	r.seconds *= factor
	if waits {
		r.seconds += seconds
	}
}

// known reports whether there is enough to tell the rate from.
func (r *rate) known() bool { return r.seconds >= minRateSeconds }

// observeLead records the time from an admission to the first event.
func (f *forecast) observeLead(lead time.Duration) {
	if f.lead == 0 {
		f.lead = lead
		return
	}
	f.deviation += ((lead - f.lead).Abs() - f.deviation) / leadDivisor
	f.lead += (lead - f.lead) / leadDivisor
}

// timeFor returns the time in which the tokens are admitted. The rate counts one request of
// the given size as admitted now, so that it isn't zero.
func (r *rate) timeFor(tokens, request float64) time.Duration {
	seconds := tokens * r.seconds / (r.released + request)
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// late reports whether a forecast is beyond the time that is left by more than the margin.
func late(wait, left time.Duration, margin float64) bool {
	return left <= 0 || float64(wait) > margin*float64(left)
}

// hopeless reports whether a request that waits this long for a place will be abandoned.
func (q *queue) hopeless(w *waiter, wait time.Duration, now time.Time) bool {
	s := &q.ranks[w.rank]
	until := w.request.UsefulUntil
	if at := w.since.Add(w.request.TargetLatency); w.request.TargetLatency > 0 && at.Before(until) && q.needsTarget(w, now) {
		until = at
	}
	left := until.Sub(now) - max(minLead, s.lead+s.deviation)
	return late(wait, left, waitMargin)
}

// tooLong reports whether a request that arrives must not wait this long because others have
// waited for long already.
func (q *queue) tooLong(w *waiter, wait time.Duration, now time.Time) bool {
	s := &q.ranks[w.rank]
	standing := s.waiting > 0 && now.Sub(s.waitingSince) > w.request.UsefulUntil.Sub(now)
	target := w.request.TargetLatency
	return standing && target > 0 && float64(wait) > standingFraction*float64(target)
}

// forecastWait returns after what time the request is expected to be admitted, which is zero
// unless that is known. before are the tokens of its workspace that wait in front of it.
func (q *queue) forecastWait(w *waiter, before float64) (wait time.Duration, known bool) {
	s := &q.ranks[w.rank]
	if !s.known() {
		return 0, false
	}
	wait = s.timeFor(q.ahead(w, before), w.tokens)
	// Requests that arrive later may be served first: more urgent ones, and those of
	// workspaces that were given less. The progress of its own workspace shows how many.
	if t := s.workspaces[w.request.Workspace]; t != nil && t.known() {
		wait = max(wait, t.timeFor(before, w.tokens))
	}
	return wait, true
}

// ahead returns the tokens of the requests that are admitted before this one.
func (q *queue) ahead(w *waiter, before float64) float64 {
	tokens := before
	for i := range w.rank {
		tokens += q.ranks[i].tokens
	}
	given := q.newTurn(w).given
	for _, t := range q.ranks[w.rank].turns {
		if t.workspace != w.request.Workspace && len(t.waiters) > 0 {
			tokens += min(t.tokens, max(0, given+before-t.given))
		}
	}
	return tokens
}

// returnTime returns when a refused request can be served if it comes back: behind those that
// wait, and not before the forecast of the engines. Callers get different times in the order
// of their requests, one after the other at the rate at which waiting requests are admitted.
func (q *queue) returnTime(w *waiter, engine time.Duration, now time.Time) time.Time {
	s := &q.ranks[w.rank]
	wait, gap := max(minReturn, engine), time.Duration(0)
	if s.known() {
		gap = s.timeFor(w.tokens, w.tokens)
		place, _ := q.forecastWait(w, q.newTurn(w).tokens+w.tokens)
		wait = max(wait, place)
	}
	at := now.Add(wait)
	for _, least := range []time.Time{s.freeAt, s.returnAt.Add(minReturnGap)} {
		if least.After(at) {
			at = least
		}
	}
	s.returnAt = at
	if at.Sub(now) <= w.request.Deadline.Sub(now)/returnDivisor {
		s.freeAt = at.Add(gap)
	}
	return at
}

// needsTarget reports whether the request is refused unless it is served within its target
// latency. Those of the most urgent rank in use are, as those that wait make engines read
// without a pause and delay all others. The rest are in an overload that lasts: served late,
// they keep later ones from being on time.
func (q *queue) needsTarget(w *waiter, now time.Time) bool {
	s := &q.ranks[w.rank]
	standing := s.waiting > 0 && now.Sub(s.waitingSince) > w.request.UsefulUntil.Sub(w.since)
	return standing || q.level(w.rank, now) == 0
}
