package allowance

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// driftDivisor shortens a grant's lifetime by twice the maximum drift rate
	// of a clock, which is one part in a thousand.
	driftDivisor = 500
	// renewDivisor sets when tokens in use are renewed: in the last
	// 1/renewDivisor of a grant's lifetime.
	renewDivisor = 4
	idleMillis   = 300
	idleAfter    = idleMillis * time.Millisecond
	flushMillis  = 250
	flushAfter   = flushMillis * time.Millisecond
	retryMillis  = 50
	retryAfter   = retryMillis * time.Millisecond
	// maxBackoffDoublings limits how often the time between retries doubles.
	maxBackoffDoublings = 3
	// denialTTLMillis is how long a denial is applied to further requests.
	denialTTLMillis = 250
	denialTTL       = denialTTLMillis * time.Millisecond
	maxWaiters      = 4096
	// maxReturnSeconds bounds how long refused requests are told to stay away.
	maxReturnSeconds = 30
	maxGenerations   = 16
	prefetchMillis   = 250
	prefetchInterval = prefetchMillis * time.Millisecond
)

// account holds the router's share of one workspace's allowance. Its methods
// require mu to be locked, except wake.
type account struct {
	mu          sync.Mutex
	wakeup      chan struct{}
	taskRunning bool

	router      string
	incarnation boragewick.Incarnation
	workspace   boragewick.ID
	// limit is that of the endpoint whose run is in place of a workspace; nil otherwise.
	limit *boragewick.EndpointLimit

	fresh, old  lot                        // held tokens; old ones are spent first
	settled     []boragewick.SettledTokens // not yet reported to the owner
	hasReturned bool                       // settled includes tokens to return
	demand      demand
	waiters     []*waiter

	number         uint64
	pending        *boragewick.GrantRequest
	sent           time.Time // when pending was first sent
	resendAt       time.Time
	failures       int       // since the last answer
	lastRequestAt  time.Time // when the last request was first sent
	lifetime       time.Duration
	denied         bool      // the first waiter must wait until notBefore
	notBefore      time.Time // for waiters when denied
	refilledAt     time.Time // when the first waiter is certain to get its tokens, when denied
	prefetchAt     time.Time // earliest time of the next prefetch
	deniedTokens   uint64    // needed beyond the held ones when last denied
	deniedAt       time.Time // zero when the last answer was a grant
	share          uint64    // tokens per second while requests wait
	returnsUntil   time.Time // until when the tokens are taken up by refused requests that come back
	ownerLostSince time.Time // when the owner stopped answering; zero while it answers
	// unansweredSince is when the first request was sent that the owner left unanswered;
	// zero while it answers.
	unansweredSince time.Time
	failedAt        time.Time // when a request last failed
	fallback        fallback
}

// lot is a number of tokens with a common expiry and generation.
type lot struct {
	tokens     uint64
	expires    time.Time
	generation uint64
}

func newAccount(router string, incarnation boragewick.Incarnation, workspace boragewick.ID) *account {
	return &account{
		wakeup:      make(chan struct{}, 1),
		router:      router,
		incarnation: incarnation,
		workspace:   workspace,
	}
}

// wake makes the account's task check for a request to send.
func (a *account) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

func (a *account) held() uint64 { return a.fresh.tokens + a.old.tokens }

// expire records held tokens that have expired as returned.
func (a *account) expire(now time.Time) {
	for _, l := range []*lot{&a.old, &a.fresh} {
		if l.tokens > 0 && !now.Before(l.expires) {
			a.settle(l.generation, 0, l.tokens)
			l.tokens = 0
		}
	}
}

// settle records used and returned tokens of a generation for the next report to
// the owner.
func (a *account) settle(generation, used, returned uint64) {
	a.hasReturned = a.hasReturned || returned > 0
	for i := range a.settled {
		if s := &a.settled[i]; s.Generation == generation {
			s.Used += used
			s.Returned += returned
			return
		}
	}
	if len(a.settled) == maxGenerations {
		a.settled = slices.Delete(a.settled, 0, 1)
	}
	a.settled = append(a.settled, boragewick.SettledTokens{Generation: generation, Used: used, Returned: returned})
}

// tryTake takes held tokens if there are enough and no request waits for them.
func (a *account) tryTake(now time.Time, tokens uint64) (generation uint64, ok bool) {
	if len(a.waiters) > 0 {
		return 0, false
	}
	a.expire(now)
	if a.held() < tokens {
		return 0, false
	}
	return a.take(now, tokens), true
}

// take deducts held tokens and returns the oldest generation among them.
func (a *account) take(now time.Time, tokens uint64) uint64 {
	a.demand.add(now, tokens)
	fromOld := min(a.old.tokens, tokens)
	a.old.tokens -= fromOld
	a.fresh.tokens -= tokens - fromOld
	if fromOld > 0 {
		return a.old.generation
	}
	return a.fresh.generation
}

// shouldPrefetch reports whether to request more tokens in advance now.
func (a *account) shouldPrefetch(now time.Time) bool {
	return a.pending == nil && !now.Before(a.prefetchAt) && a.held() < a.expected(now)/2
}

// expected returns the number of tokens to hold for expected requests.
func (a *account) expected(now time.Time) uint64 {
	if now.Sub(a.demand.last) >= idleAfter {
		return 0
	}
	return a.demand.expected(now)
}

// nextRequest returns the request to send now, if any.
func (a *account) nextRequest(now time.Time) (boragewick.GrantRequest, bool) {
	a.expire(now)
	if a.pending != nil {
		if now.Before(a.resendAt) {
			return boragewick.GrantRequest{}, false
		}
		return *a.pending, true
	}
	due := a.dueAt(now)
	if due.IsZero() || now.Before(due) {
		return boragewick.GrantRequest{}, false
	}
	r := a.buildRequest(now)
	a.pending = &r
	a.sent, a.lastRequestAt = now, now
	a.resendAt = now.Add(retryAfter)
	return r, true
}

// buildRequest builds the next request. Held tokens beyond twice the need are
// returned with it.
func (a *account) buildRequest(now time.Time) boragewick.GrantRequest {
	needed := a.expected(now)
	for _, w := range a.waiters {
		needed += w.tokens
	}
	if excess := saturatingSub(a.held(), 2*needed); excess > 0 {
		fromOld := min(a.old.tokens, excess)
		a.old.tokens -= fromOld
		a.fresh.tokens -= excess - fromOld
		a.settle(a.old.generation, 0, fromOld)
		a.settle(a.fresh.generation, 0, excess-fromOld)
	}
	a.number++
	r := boragewick.GrantRequest{
		Router:      a.router,
		Incarnation: a.incarnation,
		Workspace:   a.workspace,
		Number:      a.number,
		Wanted:      saturatingSub(needed, a.held()),
		Held:        a.held(),
		Settled:     a.settled,
	}
	if len(a.waiters) > 0 {
		r.Least = saturatingSub(a.waiters[0].tokens, a.held())
		r.WaitMillis = uint64(max(0, a.waiters[0].deadline.Sub(now).Milliseconds()))
	}
	if a.limit != nil {
		limit := *a.limit
		limit.Now = now
		r.Limit = &limit
	}
	a.settled, a.hasReturned = nil, false
	a.reportFallback(now, &r)
	return r
}

// applyGrant applies the owner's answer. Answers to earlier requests are ignored.
func (a *account) applyGrant(now time.Time, g boragewick.Grant) {
	if a.pending == nil || g.Number != a.pending.Number {
		return
	}
	r := a.pending
	a.pending = nil
	a.renewFallback(g.Fallback)
	a.ownerLostSince, a.unansweredSince = time.Time{}, time.Time{}
	a.failures = 0
	a.lifetime = g.Expires.Sub(g.Now)
	a.lifetime -= a.lifetime / driftDivisor
	a.share = g.TokensPerSecond
	a.expire(now)
	a.addGrant(g)
	a.expire(now)
	a.denied = g.Tokens < r.Least
	a.deniedTokens, a.deniedAt = 0, time.Time{}
	if a.denied {
		a.deniedTokens, a.deniedAt = r.Least, now
	}
	a.notBefore, a.refilledAt = a.sent, a.sent
	if !g.Available.IsZero() {
		a.notBefore = a.sent.Add(g.Available.Sub(g.Now))
		a.refilledAt = now.Add(g.Refilled.Sub(g.Now))
	}
	a.prefetchAt = latest(a.notBefore, a.sent.Add(prefetchInterval))
	a.serveWaiters(now)
	a.refuseLate(now, g.Burst)
}

// addGrant adds the tokens of a grant and renews as many held ones as it states.
func (a *account) addGrant(g boragewick.Grant) {
	total := a.held()
	renewed := min(total, g.Renewed)
	rest := lot{tokens: total - renewed, expires: a.fresh.expires, generation: a.fresh.generation}
	if a.old.tokens > 0 {
		rest.expires = earliest(rest.expires, a.old.expires)
		rest.generation = a.old.generation
	}
	a.old = rest
	a.fresh = lot{tokens: renewed + g.Tokens, expires: a.sent.Add(a.lifetime), generation: g.Generation}
}

// handleError handles a request that got no grant from the owner.
func (a *account) handleError(now time.Time, err error) {
	switch {
	case errors.Is(err, boragewick.ErrUnknownObject):
		a.pending = nil
		a.renewFallback(0)
		a.ownerLostSince, a.unansweredSince = time.Time{}, time.Time{}
		a.refuseAll(boragewick.NotRun(errors.Wrapf(boragewick.ErrRateExceeded, "workspace %s has no rate", a.workspace)))
		return
	case errors.Is(err, boragewick.ErrProtocol), a.lifetime > 0 && now.Sub(a.sent) >= a.lifetime:
		if a.pending != nil {
			a.unreportFallback(a.pending)
		}
		a.pending = nil
	}
	a.resendAt = now.Add(retryAfter << min(a.failures, maxBackoffDoublings))
	a.failures++
	a.notBefore = a.resendAt
	a.prefetchAt = a.resendAt
	if a.ownerLostSince.IsZero() {
		a.ownerLostSince = now
	}
	a.failedAt = now
	if a.unansweredSince.IsZero() {
		a.unansweredSince = a.sent
	}
	a.serveFallback(now)
}

// wakeAt returns when nextRequest will have a request to send; zero means never.
func (a *account) wakeAt(now time.Time) time.Time {
	if a.pending != nil {
		return a.resendAt
	}
	return a.dueAt(now)
}

// dueAt returns when the next request is due, given that none is pending.
func (a *account) dueAt(now time.Time) time.Time {
	var due time.Time
	if len(a.waiters) > 0 {
		due = now
		if a.denied || !a.ownerLostSince.IsZero() {
			due = a.notBefore
		}
	}
	if a.held() > 0 {
		if len(a.waiters) == 0 {
			due = earliest(due, a.demand.last.Add(idleAfter))
		}
		due = earliest(due, latest(a.fresh.expires.Add(-a.lifetime/renewDivisor), a.prefetchAt))
	}
	if a.hasReturned || a.fallback.used > 0 {
		due = earliest(due, a.lastRequestAt.Add(flushAfter))
	}
	if a.held() < a.expected(now)/2 {
		due = earliest(due, a.prefetchAt)
	}
	if due.IsZero() || a.ownerLostSince.IsZero() {
		return due
	}
	return latest(due, a.resendAt)
}

// earliest returns the earlier time; a zero x counts as never.
func earliest(x, y time.Time) time.Time {
	if x.IsZero() || y.Before(x) {
		return y
	}
	return x
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// saturatingSub returns x-y, or zero if y is larger.
func saturatingSub(x, y uint64) uint64 {
	return x - min(x, y)
}
