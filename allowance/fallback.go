package allowance

import (
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// fallbackDelay is how long the owner must have left a request unanswered before the
	// fallback share is used: two requests' timeouts.
	fallbackDelay = 2 * grantTimeout
	// namingLag is how long a replica may name an owner that no longer answers it: the
	// longest election timeout and the interval at which it looks for a new leader.
	namingLag = 1200 * time.Millisecond
	// namingTTL is how long the naming of an owner counts. Replicas repeat it each second.
	namingTTL = 1500 * time.Millisecond
	// failureTTL is how long a failed request shows that the owner doesn't answer. It is
	// longer than the time between two failures of resent requests.
	failureTTL = time.Second
	// overdueAfter is how long an answer takes at most from an owner that is alive.
	overdueAfter = 200 * time.Millisecond
	// outageMillis is how long it takes until a lost owner is replaced and the router has
	// found the next one: up to 2 s when a leader freezes. outageGrowth is by how much the
	// estimate grows each time it has passed.
	outageMillis = 2000
	outage       = outageMillis * time.Millisecond
	outageGrowth = 1.5
	// returnPace is the pace at which refused callers come back, as a part of the router's
	// usual demand, which goes on beside them.
	returnPace = 0.5
)

// fallback is the share of a workspace's rate that the router may use while no owner
// answers. The owner counts it until the router has told what is left of it and what it has
// used, so that all routers together stay within the owner's budget.
type fallback struct {
	view    boragewick.RateView // nil if there are no fallback shares
	tokens  uint64
	expires time.Time
	// rate is the one under which the share was given, and asked the one when the last
	// request was built.
	rate, asked boragewick.Rate
	used        uint64 // since the last request was built
	reports     uint64 // requests built
	active      bool   // in use since the owner was lost
	outageUsed  uint64 // since the owner was lost
	// returnsUntil is until when the usual demand leaves no room for further requests that
	// are refused before the owner answers. It ends with the outage, so that later refusals
	// go by the owner's estimates alone.
	returnsUntil time.Time
	// observe is called when the use of the share starts and ends; it may be nil.
	observe func(a *account, lostSince time.Time)
}

// unanswered returns since when the owner has left requests unanswered; zero if it has not.
func (a *account) unanswered(now time.Time) time.Time {
	if a.unansweredSince.IsZero() && a.pending != nil && now.Sub(a.sent) >= overdueAfter {
		return a.sent
	}
	return a.unansweredSince
}

// ownerGone reports whether the owner has not answered for fallbackDelay and no replica has
// told of a live one since. A replica's naming of an owner soon after the loss tells nothing,
// as it may be of the owner that was lost.
func (a *account) ownerGone(now time.Time) bool {
	since := a.unansweredSince
	if since.IsZero() || now.Sub(since) < fallbackDelay || now.Sub(a.failedAt) >= failureTTL {
		return false
	}
	named := a.fallback.view.OwnerNamedAt()
	return named.Sub(since) < namingLag || now.Sub(named) >= namingTTL
}

// left returns what is left of the fallback share. A lower rate reduces it at once, and it
// ends with the rate.
func (a *account) left(now time.Time) uint64 {
	f := &a.fallback
	if f.tokens == 0 {
		return 0
	}
	rate, ok := f.view.Rate(a.workspace)
	if !ok || !now.Before(f.expires) {
		f.tokens = 0
		return 0
	}
	f.tokens = scaled(f.tokens, rate.TokensPerSecond, f.rate.TokensPerSecond)
	f.tokens = scaled(f.tokens, rate.Burst, f.rate.Burst)
	f.rate.TokensPerSecond = min(f.rate.TokensPerSecond, rate.TokensPerSecond)
	f.rate.Burst = min(f.rate.Burst, rate.Burst)
	return f.tokens
}

// scaled reduces the tokens by the ratio of now to before, if that is below one.
func scaled(tokens, now, before uint64) uint64 {
	if now >= before {
		return tokens
	}
	return min(tokens, uint64(float64(tokens)*float64(now)/float64(before)))
}

// usable returns how much of the fallback share may be used now.
func (a *account) usable(now time.Time) uint64 {
	if a.fallback.view == nil || a.limit != nil {
		return 0
	}
	if !a.ownerGone(now) {
		a.endFallback()
		return 0
	}
	return a.left(now)
}

// tryFallback takes tokens from the fallback share if the owner is gone and there are
// enough. Requests that wait need not be served first, as the share doesn't grow. It
// returns the number of the report that will tell the owner.
func (a *account) tryFallback(now time.Time, tokens uint64) (report uint64, ok bool) {
	if a.usable(now) < tokens {
		return 0, false
	}
	f := &a.fallback
	a.demand.add(now, tokens)
	f.tokens -= tokens
	f.used += tokens
	f.outageUsed += tokens
	if !f.active {
		f.active = true
		f.notify(a, a.unansweredSince)
	}
	return f.reports, true
}

// serveFallback serves the waiters for which the fallback share is enough, in order.
func (a *account) serveFallback(now time.Time) {
	if a.usable(now) == 0 {
		return
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(w *waiter) bool {
		report, ok := a.tryFallback(now, w.tokens)
		if ok {
			w.generation, w.fallback = report, true
			w.result <- nil
		}
		return ok
	})
	a.denied = a.denied && len(a.waiters) > 0
}

// returnFallback puts unused tokens back into the share, unless their use has been reported
// to the owner. Then they stay charged.
func (a *account) returnFallback(report, tokens uint64) {
	f := &a.fallback
	if report == f.reports && tokens <= f.used {
		f.used -= tokens
		f.outageUsed -= min(f.outageUsed, tokens)
		f.tokens += tokens
	}
}

// reportFallback adds the fallback share to a request to the owner.
func (a *account) reportFallback(now time.Time, r *boragewick.GrantRequest) {
	f := &a.fallback
	if f.view == nil || a.limit != nil {
		return
	}
	r.FallbackHeld = a.left(now)
	r.FallbackUsed = f.used
	f.used = 0
	f.reports++
	f.asked, _ = f.view.Rate(a.workspace)
}

// unreportFallback takes back the report of a request that may not have reached the owner.
func (a *account) unreportFallback(r *boragewick.GrantRequest) {
	a.fallback.used += r.FallbackUsed
}

// renewFallback replaces the share by the granted one. What has been used since the request
// was built is deducted, as the owner doesn't know of it yet.
func (a *account) renewFallback(granted uint64) {
	f := &a.fallback
	a.endFallback()
	f.returnsUntil = time.Time{}
	if f.view == nil || a.limit != nil {
		return
	}
	f.tokens = saturatingSub(granted, f.used)
	f.expires = a.sent.Add(boragewick.FallbackLifetime - boragewick.FallbackLifetime/driftDivisor)
	f.rate = f.asked
}

// endFallback ends the use of the share.
func (a *account) endFallback() {
	f := &a.fallback
	if f.active {
		f.active = false
		f.notify(a, a.unansweredSince)
		f.outageUsed = 0
	}
}

func (f *fallback) notify(a *account, lostSince time.Time) {
	if f.observe != nil {
		f.observe(a, lostSince)
	}
}

// serviceAt estimates when a request that is refused while the owner doesn't answer is
// served by the next owner. Nobody knows how long the outage lasts, so the estimate grows with
// it. The router's callers are spread over the time in which there is room for them.
func (a *account) serviceAt(now, since time.Time, tokens uint64) time.Time {
	end := since.Add(outage)
	for wait := float64(outage); !end.After(now); wait *= outageGrowth {
		end = since.Add(time.Duration(wait))
	}
	at := latest(end, a.fallback.returnsUntil)
	if last := now.Add(maxReturnSeconds * time.Second); at.After(last) {
		at = last
	}
	if pace := a.demand.usualRate(since) * returnPace; pace > 0 {
		a.fallback.returnsUntil = at.Add(time.Duration(min(float64(tokens)/pace, maxReturnSeconds) * float64(time.Second)))
	}
	return at
}
