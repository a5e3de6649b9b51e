package ledger

import (
	"math"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// fallbackPortion is the part of the permitted overage that is given out as fallback
	// shares. The rest covers the drift of clocks and rounding.
	fallbackPortion = 0.9
	// recentSeconds is the time constant over which a router's grants are summed. Its
	// fallback share is at most that sum.
	recentSeconds = 4.0
)

// fallback is the part of an account that routers may use while no owner answers. The
// shares that routers hold, what they have used of them and not reported, and debt together
// never exceed the budget. It is in tokens, except debt.
type fallback struct {
	budget uint64
	// debt is what routers have used of their shares and the refill has not yet made up
	// for, in millionths.
	debt uint64
	// retention is how long a share is counted after its last renewal: until it has
	// expired and its use is out of every window over which the rate is checked.
	retention time.Duration
	// adoptUntil is until when routers may have shares that an earlier owner gave. No
	// share grows before.
	adoptUntil time.Time
	recent     recentTokens
}

// fallbackShare is what one run of a router may use.
type fallbackShare struct {
	tokens uint64
	until  time.Time // counted until then
	recent recentTokens
	// request is what the router's last waiting request needed. A smaller share would
	// serve none.
	request uint64
}

// emptied returns the state for a new owner.
func (f *fallback) emptied() fallback {
	return fallback{budget: f.budget, retention: f.retention}
}

// recentTokens is an exponentially decaying sum.
type recentTokens struct {
	tokens float64
	at     time.Time
}

func (r *recentTokens) add(now time.Time, tokens uint64) {
	r.tokens = r.sum(now) + float64(tokens)
	r.at = now
}

func (r *recentTokens) sum(now time.Time) float64 {
	if r.tokens == 0 {
		return 0
	}
	return r.tokens * math.Exp(-now.Sub(r.at).Seconds()/recentSeconds)
}

// fallbackBudget returns the number of tokens that all fallback shares of a workspace may
// have. The slack is left out: it is granted on top of the burst and at two changes of the
// owner within one window.
func (l *Ledger) fallbackBudget(a *account) uint64 {
	if l.Overage <= 0 || l.Window <= 0 {
		return 0
	}
	burst := saturatingSub(a.burst/microsPerToken, l.Headroom)
	allowed := float64(a.rate)*l.Window.Seconds() + float64(burst)
	return uint64(min(allowed*l.Overage*fallbackPortion, maxBurst))
}

// setFallback sets the budget for the account's rate.
func (l *Ledger) setFallback(a *account) {
	a.fallback.budget = l.fallbackBudget(a)
	a.fallback.retention = boragewick.FallbackLifetime + l.Window
}

// settleFallback applies what the router reports of its fallback share. What it used is
// taken from the level, and the rest from the refill to come.
func (a *account) settleFallback(h *holder, r boragewick.GrantRequest) {
	h.fallback.tokens = min(r.FallbackHeld, maxBurst)
	a.fallback.debt = min(a.fallback.debt+toMicros(r.FallbackUsed), a.burst)
	a.payDebt()
}

func (a *account) payDebt() {
	n := min(a.fallback.debt, a.level)
	a.fallback.debt -= n
	a.level -= n
}

// shareFallback sets the fallback share in h.last. The larger one of it and the share that
// the router has counts until the next request, as this answer may get lost.
func (a *account) shareFallback(now time.Time, h *holder, r boragewick.GrantRequest) {
	if a.fallback.budget == 0 {
		return
	}
	s := &h.fallback
	s.recent.add(now, h.last.Tokens)
	a.fallback.recent.add(now, h.last.Tokens)
	if r.Least > 0 {
		s.request = r.Least
	}
	wanted := a.wantedFallback(now, s)
	if now.Before(a.fallback.adoptUntil) {
		wanted = r.FallbackHeld
	}
	h.last.Fallback = min(wanted, a.spareFallback(now, h))
	s.tokens = max(s.tokens, h.last.Fallback)
	s.until = now.Add(a.fallback.retention)
}

// wantedFallback returns what the router was granted recently, reduced to its part of the
// budget if that is less than what all routers were granted. It is enough for a request
// unless nothing was granted recently.
func (a *account) wantedFallback(now time.Time, s *fallbackShare) uint64 {
	recent := s.recent.sum(now)
	if recent < 1 {
		return 0
	}
	part := min(1, float64(a.fallback.budget)/a.fallback.recent.sum(now))
	return max(uint64(recent*part), s.request)
}

// spareFallback returns what is left of the budget for the router.
func (a *account) spareFallback(now time.Time, h *holder) uint64 {
	used := (a.fallback.debt + microsPerToken - 1) / microsPerToken
	for _, other := range a.holders {
		if other != h && now.Before(other.fallback.until) {
			used += other.fallback.tokens
		}
	}
	return saturatingSub(a.fallback.budget, used)
}
