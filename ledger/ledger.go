// Package ledger is the owner's side of rate limiting: it keeps an account of
// each workspace's allowance, and of each limit that an endpoint names, and grants
// shares of it to routers.
package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	grantTTLMillis = 4000
	grantTTL       = grantTTLMillis * time.Millisecond
	// shortGrantTTL applies to grants that go to waiting requests alone: they
	// soon count as spent, so they hold up the refill less. It also applies to
	// grants that raise the held tokens above 1/heldDivisor of the burst.
	shortGrantTTLMillis   = 500
	shortGrantTTL         = shortGrantTTLMillis * time.Millisecond
	holderRetentionMillis = 300_000
	holderRetention       = holderRetentionMillis * time.Millisecond
)

// Ledger is the owner of all workspaces' rates. It grants short-lived shares
// to routers so that the tokens spent in any interval together with the
// grants outstanding at its end stay within rate times length plus burst. This
// holds across a change of owner if the earlier one has stopped granting before
// the next one starts. The zero value owns nothing.
type Ledger struct {
	// Clock is the owner's clock; nil means the SystemClock.
	Clock boragewick.Clock
	// Headroom is the number of tokens with which each workspace starts at a new
	// owner although the earlier one may have granted its whole burst. Spending
	// may exceed the rate by as much at each change of owner.
	Headroom uint64
	// Overage is the fraction of its rate and burst by which a workspace may exceed them in
	// any Window, besides Headroom. Routers get parts of it for the time in which no owner
	// answers; none if either is zero.
	Overage float64
	Window  time.Duration

	mu               sync.Mutex
	accounts         map[boragewick.ID]*account
	limits           map[boragewick.ID]*limited // by run of an endpoint
	isOwner          bool
	priorGrantsUntil time.Time // grants of the previous owner may be spent until then
	priorSharesUntil time.Time // fallback shares of the previous owner count until then
	// seen holds the workspaces that may have had grants before.
	seen map[boragewick.ID]bool
}

// New returns a Ledger that reads the clock.
func New(clock boragewick.Clock) *Ledger {
	return &Ledger{Clock: clock}
}

// Start makes the Ledger the owner. No other owner may grant any more. The
// very first owner has no earlier grants to wait for. A later one is given all
// workspaces that may have had grants; any other one that gets a rate from then
// on starts with its whole burst, once.
func (l *Ledger) Start(first bool, workspaces ...boragewick.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.isOwner = true
	l.priorGrantsUntil = now
	l.priorSharesUntil = now
	if l.seen == nil {
		l.seen = map[boragewick.ID]bool{}
	}
	if !first {
		l.priorGrantsUntil = now.Add(grantTTL)
		l.priorSharesUntil = now.Add(boragewick.FallbackLifetime + l.Window)
		for _, id := range workspaces {
			l.seen[id] = true
		}
	}
	l.limits = nil
	for _, a := range l.accounts {
		a.reset(now, l.priorGrantsUntil)
		a.fallback.adoptUntil = l.priorSharesUntil
		a.unreserve(l.headroom(first))
	}
}

// headroom returns the tokens with which accounts start at a later owner, and
// zero for the first.
func (l *Ledger) headroom(first bool) uint64 {
	if first {
		return 0
	}
	return l.Headroom
}

// Stop ends the ownership; Grant returns ErrNotLeader from then on.
func (l *Ledger) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isOwner = false
}

// SetRates replaces the rates of all workspaces. A workspace that is left out
// gets no grants from then on.
func (l *Ledger) SetRates(rates []boragewick.Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.accounts == nil {
		l.accounts = make(map[boragewick.ID]*account, len(rates))
	}
	if l.seen == nil {
		l.seen = map[boragewick.ID]bool{}
	}
	kept := make(map[boragewick.ID]bool, len(rates))
	for _, r := range rates {
		kept[r.Workspace] = true
		a, known := l.accounts[r.Workspace]
		if !known {
			a = &account{}
			a.reset(now, l.priorGrantsUntil)
			a.fallback.adoptUntil = l.priorSharesUntil
			l.accounts[r.Workspace] = a
		}
		a.setRate(now, r.TokensPerSecond, r.Burst)
		l.setFallback(a)
		if !known && l.priorGrantsUntil.After(now) {
			a.unreserve(l.Headroom)
		}
		if l.isOwner && !l.seen[r.Workspace] {
			a.fill()
		}
		l.seen[r.Workspace] = true
	}
	for id, a := range l.accounts {
		if kept[id] {
			continue
		}
		a.setRate(now, 0, 0)
		l.setFallback(a)
		a.evictIdleHolders(now)
		if len(a.holders) == 0 && !now.Before(a.reservedUntil) {
			delete(l.accounts, id)
		}
	}
}

// Grant decides on one router's request.
func (l *Ledger) Grant(_ context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOwner {
		return boragewick.Grant{}, errors.Wrap(boragewick.ErrNotLeader, "rate owner")
	}
	a := l.accounts[r.Workspace]
	if r.Limit != nil {
		a = l.limitOf(&r, l.now())
	}
	if a == nil || a.burst == 0 {
		return boragewick.Grant{}, errors.Wrapf(boragewick.ErrUnknownObject, "rate of workspace %s", r.Workspace)
	}
	return a.grant(l.now(), r)
}

func (l *Ledger) now() time.Time {
	if l.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return l.Clock.Now()
}
