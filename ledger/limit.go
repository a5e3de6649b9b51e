package ledger

import (
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// minLimit is the least rate at which requests are granted whatever limit an
	// endpoint names, in thousandths of a request a second, as only an answer can tell
	// that the limit has ended.
	minLimit = boragewick.LimitedRequest / 4
	// limitBurst is what may be granted at once, in thousandths of a request, on top of
	// what the limit allows in a part of a second.
	limitBurst        = 2 * boragewick.LimitedRequest
	limitBurstDivisor = 2
	// maxLimited bounds the runs of endpoints whose limits are kept.
	maxLimited = 8192
	// limitRetention is how long the limit of a run is kept after its last grant.
	limitRetention = holderRetention
)

// limited is the account of the limit of one run of an endpoint.
type limited struct {
	account
	// namedAt is when the endpoint named the limit that is in force.
	namedAt time.Time
	usedAt  time.Time
}

// limitOf returns the account of the run for which the request asks, or nil if there are
// too many. The limit that was named last is in force.
func (l *Ledger) limitOf(r *boragewick.GrantRequest, now time.Time) *account {
	a := l.limits[r.Workspace]
	if a == nil {
		if l.evictLimits(now); len(l.limits) >= maxLimited {
			return nil
		}
		if l.limits == nil {
			l.limits = map[boragewick.ID]*limited{}
		}
		a = &limited{account: account{shortLived: true}}
		a.reset(now, l.priorGrantsUntil.Add(shortGrantTTL-grantTTL))
		l.limits[r.Workspace] = a
	}
	a.usedAt = now
	if namedAt := now.Add(-max(0, r.Limit.Now.Sub(r.Limit.NamedAt))); a.burst == 0 || namedAt.After(a.namedAt) {
		a.namedAt = namedAt
		rate := min(max(r.Limit.MilliPerSecond, minLimit), maxTokensPerSec)
		a.setRate(now, rate, limitBurst+rate/limitBurstDivisor)
	}
	return &a.account
}

// evictLimits drops the limits of runs for which no router has asked for limitRetention.
func (l *Ledger) evictLimits(now time.Time) {
	for run, a := range l.limits {
		if now.Sub(a.usedAt) >= limitRetention {
			delete(l.limits, run)
		}
	}
}
