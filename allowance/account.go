package allowance

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// driftDivisor shortens a grant's life by twice the largest drift rate of
	// a clock, one part in a thousand.
	driftDivisor = 500
	// renewDivisor is the part of a grant's life before its end at which
	// tokens that are in use are renewed.
	renewDivisor = 4
	idleMillis   = 300
	idleAfter    = idleMillis * time.Millisecond
	flushMillis  = 250
	flushAfter   = flushMillis * time.Millisecond
	retryMillis  = 50
	retryAfter   = retryMillis * time.Millisecond
	// maxDoublings bounds how often the time between retries doubles.
	maxDoublings = 3
	// trustDenialMillis is for how long a denial counts for further requests.
	trustDenialMillis = 250
	trustDenial       = trustDenialMillis * time.Millisecond
	maxWaiters        = 4096
	maxGenerations    = 16
	prefetchMillis    = 250
	prefetchInterval  = prefetchMillis * time.Millisecond
)

// account is what the router has of one workspace's allowance. Its methods
// need mu but for wake.
type account struct {
	mu      sync.Mutex
	poke    chan struct{}
	started bool // a task serves the account

	router      string
	incarnation boragewick.Incarnation
	workspace   boragewick.ID

	fresh, old lot                        // tokens in hand; old ones go first
	settled    []boragewick.SettledTokens // not yet told to the owner
	returned   bool                       // settled holds tokens to give back
	demand     demand
	waiters    []*waiter

	number     uint64
	pending    *boragewick.GrantRequest
	sent       time.Time // when pending was first sent
	resend     time.Time
	failures   int       // since the last answer
	asked      time.Time // when the last request was first sent
	life       time.Duration
	denied     bool      // the first waiter must wait until notBefore
	notBefore  time.Time // for waiters when denied
	refilled   time.Time // when the first waiter surely has its tokens when denied
	prefetchAt time.Time // from when more can be granted ahead
	least      uint64    // beyond what was in hand when last denied
	deniedAt   time.Time // zero when the last answer was a grant
	share      uint64    // tokens per second while requests wait
	lostSince  time.Time // since when the owner gave no answer; zero when it does
}

// lot is a number of tokens with one expiry.
type lot struct {
	tokens     uint64
	expires    time.Time
	generation uint64
}

func newAccount(router string, incarnation boragewick.Incarnation, workspace boragewick.ID) *account {
	return &account{
		poke:        make(chan struct{}, 1),
		router:      router,
		incarnation: incarnation,
		workspace:   workspace,
	}
}

// wake makes the account's task look at it.
func (a *account) wake() {
	select {
	case a.poke <- struct{}{}:
	default:
	}
}

func (a *account) inHand() uint64 { return a.fresh.tokens + a.old.tokens }

// expire moves tokens that may not be spent any more to those given back.
func (a *account) expire(now time.Time) {
	for _, l := range []*lot{&a.old, &a.fresh} {
		if l.tokens > 0 && !now.Before(l.expires) {
			a.settle(l.generation, 0, l.tokens)
			l.tokens = 0
		}
	}
}

// settle notes what became of tokens.
func (a *account) settle(generation, used, returned uint64) {
	a.returned = a.returned || returned > 0
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

// takeAtOnce takes tokens in hand unless others wait for them.
func (a *account) takeAtOnce(now time.Time, tokens uint64) (generation uint64, ok bool) {
	if len(a.waiters) > 0 {
		return 0, false
	}
	a.expire(now)
	if a.inHand() < tokens {
		return 0, false
	}
	return a.take(now, tokens), true
}

// take returns the oldest generation that it took from.
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

// low reports whether more tokens should be granted ahead now.
func (a *account) low(now time.Time) bool {
	return a.pending == nil && !now.Before(a.prefetchAt) && a.inHand() < a.expected(now)/2
}

// expected is the number of tokens to have in hand.
func (a *account) expected(now time.Time) uint64 {
	if now.Sub(a.demand.last) >= idleAfter {
		return 0
	}
	return a.demand.expected(now)
}

// next returns the request to send now, if there is one.
func (a *account) next(now time.Time) (boragewick.GrantRequest, bool) {
	a.expire(now)
	if a.pending != nil {
		if now.Before(a.resend) {
			return boragewick.GrantRequest{}, false
		}
		return *a.pending, true
	}
	due := a.dueAt(now)
	if due.IsZero() || now.Before(due) {
		return boragewick.GrantRequest{}, false
	}
	r := a.request(now)
	a.pending = &r
	a.sent, a.asked = now, now
	a.resend = now.Add(retryAfter)
	return r, true
}

// request builds the next request and takes what it returns out of hand.
func (a *account) request(now time.Time) boragewick.GrantRequest {
	needed := a.expected(now)
	for _, w := range a.waiters {
		needed += w.tokens
	}
	if excess := sub(a.inHand(), 2*needed); excess > 0 {
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
		Wanted:      sub(needed, a.inHand()),
		Held:        a.inHand(),
		Settled:     a.settled,
	}
	if len(a.waiters) > 0 {
		r.Least = sub(a.waiters[0].tokens, a.inHand())
		r.WaitMillis = uint64(max(0, a.waiters[0].deadline.Sub(now).Milliseconds()))
	}
	a.settled, a.returned = nil, false
	return r
}

// apply takes in the owner's answer. Answers to earlier requests change nothing.
func (a *account) apply(now time.Time, g boragewick.Grant) {
	if a.pending == nil || g.Number != a.pending.Number {
		return
	}
	r := a.pending
	a.pending = nil
	a.lostSince = time.Time{}
	a.failures = 0
	a.life = g.Expires.Sub(g.Now)
	a.life -= a.life / driftDivisor
	a.share = g.TokensPerSecond
	a.expire(now)
	a.receive(g)
	a.expire(now)
	a.denied = g.Tokens < r.Least
	a.least, a.deniedAt = 0, time.Time{}
	if a.denied {
		a.least, a.deniedAt = r.Least, now
	}
	a.notBefore, a.refilled = a.sent, a.sent
	if !g.Available.IsZero() {
		a.notBefore = a.sent.Add(g.Available.Sub(g.Now))
		a.refilled = now.Add(g.Refilled.Sub(g.Now))
	}
	a.prefetchAt = latest(a.notBefore, a.sent.Add(prefetchInterval))
	a.serveWaiters(now)
	a.refuseLate(now, g.Burst)
}

// receive adds the tokens of a grant and renews those in hand that it names.
func (a *account) receive(g boragewick.Grant) {
	total := a.inHand()
	renewed := min(total, g.Renewed)
	rest := lot{tokens: total - renewed, expires: a.fresh.expires, generation: a.fresh.generation}
	if a.old.tokens > 0 {
		rest.expires = earliest(rest.expires, a.old.expires)
		rest.generation = a.old.generation
	}
	a.old = rest
	a.fresh = lot{tokens: renewed + g.Tokens, expires: a.sent.Add(a.life), generation: g.Generation}
}

// fail takes in that the owner gave no grant.
func (a *account) fail(now time.Time, err error) {
	switch {
	case errors.Is(err, boragewick.ErrUnknownObject):
		a.pending = nil
		a.lostSince = time.Time{}
		a.refuseAll(boragewick.NotRun(errors.Wrapf(boragewick.ErrRateExceeded, "workspace %s has no rate", a.workspace)))
		return
	case errors.Is(err, boragewick.ErrProtocol), a.life > 0 && now.Sub(a.sent) >= a.life:
		a.pending = nil
	}
	a.resend = now.Add(retryAfter << min(a.failures, maxDoublings))
	a.failures++
	a.notBefore = a.resend
	a.prefetchAt = a.resend
	if a.lostSince.IsZero() {
		a.lostSince = now
	}
}

// wakeAt tells when next has something to send; zero means never.
func (a *account) wakeAt(now time.Time) time.Time {
	if a.pending != nil {
		return a.resend
	}
	return a.dueAt(now)
}

// dueAt tells when the next request is due, without one under way.
func (a *account) dueAt(now time.Time) time.Time {
	var due time.Time
	if len(a.waiters) > 0 {
		due = now
		if a.denied || !a.lostSince.IsZero() {
			due = a.notBefore
		}
	}
	if a.inHand() > 0 {
		if len(a.waiters) == 0 {
			due = earliest(due, a.demand.last.Add(idleAfter))
		}
		due = earliest(due, latest(a.fresh.expires.Add(-a.life/renewDivisor), a.prefetchAt))
	}
	if a.returned {
		due = earliest(due, a.asked.Add(flushAfter))
	}
	if a.inHand() < a.expected(now)/2 {
		due = earliest(due, a.prefetchAt)
	}
	if due.IsZero() || a.lostSince.IsZero() {
		return due
	}
	return latest(due, a.resend)
}

// earliest returns the earlier instant; zero counts as never.
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

// sub returns x-y or zero when y is larger.
func sub(x, y uint64) uint64 {
	return x - min(x, y)
}
