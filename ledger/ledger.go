// Package ledger keeps the owner's account of what each workspace may use.
package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	grantLifeMillis = 4000
	grantLife       = grantLifeMillis * time.Millisecond
	// urgentLife is that of grants that go to waiting requests alone: counted
	// as spent soon, they stop the refill less.
	urgentLifeMillis = 500
	urgentLife       = urgentLifeMillis * time.Millisecond
	forgetAfterMills = 300_000
	forgetAfter      = forgetAfterMills * time.Millisecond
)

// Ledger is the owner of all workspaces' rates. It grants short-lived shares
// to routers so that the tokens spent in any interval together with the
// grants outstanding at its end stay within rate times length plus burst. It
// holds for owners that follow one another when the earlier one has stopped
// granting before the next one starts. The zero value owns nothing.
type Ledger struct {
	// Clock is the owner's clock; nil means the SystemClock.
	Clock boragewick.Clock
	// Headroom is the number of tokens with which each workspace starts at a new
	// owner though the earlier one may have granted its whole burst. What is
	// spent may pass the rate by as much at each change of the owner.
	Headroom uint64

	mu       sync.Mutex
	accounts map[boragewick.ID]*account
	owning   bool
	unsafe   time.Time // until when grants of the owner before may be spent
	// seen holds the workspaces that may have had grants before.
	seen map[boragewick.ID]bool
}

// New returns a Ledger that reads the clock.
func New(clock boragewick.Clock) *Ledger {
	return &Ledger{Clock: clock}
}

// Start makes the Ledger the owner. No other owner may grant any more. The
// first owner of all has no grants of an earlier one to wait for. A later one
// tells all workspaces that may have had grants; any other one that gets a
// rate from then on starts with its whole burst, once.
func (l *Ledger) Start(first bool, workspaces ...boragewick.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.owning = true
	l.unsafe = now
	if l.seen == nil {
		l.seen = map[boragewick.ID]bool{}
	}
	if !first {
		l.unsafe = now.Add(grantLife)
		for _, id := range workspaces {
			l.seen[id] = true
		}
	}
	for _, a := range l.accounts {
		a.restart(now, l.unsafe)
		a.open(l.headroom(first))
	}
}

// headroom returns what accounts start with at a later owner, in tokens.
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
	l.owning = false
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
			a.restart(now, l.unsafe)
			l.accounts[r.Workspace] = a
		}
		a.setRate(now, r.TokensPerSecond, r.Burst)
		if !known && l.unsafe.After(now) {
			a.open(l.Headroom)
		}
		if l.owning && !l.seen[r.Workspace] {
			a.fill()
		}
		l.seen[r.Workspace] = true
	}
	for id, a := range l.accounts {
		if kept[id] {
			continue
		}
		a.setRate(now, 0, 0)
		a.forget(now)
		if len(a.holders) == 0 && !now.Before(a.reservedUntil) {
			delete(l.accounts, id)
		}
	}
}

// Grant decides on one router's request.
func (l *Ledger) Grant(_ context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.owning {
		return boragewick.Grant{}, errors.Wrap(boragewick.ErrNotLeader, "rate owner")
	}
	a := l.accounts[r.Workspace]
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
