package ledger

import "time"

// estimateAvailability sets Refilled to when the refill alone yields the tokens,
// and Available to an earlier time if other routers may return enough before.
func (a *account) estimateAvailability(now time.Time, h *holder, tokens uint64) {
	h.last.Refilled = a.refillTime(now, h, tokens)
	h.last.Available = h.last.Refilled
	recheck := now.Add(recheckMillis * time.Millisecond)
	if toMicros(tokens) <= a.level+a.held-h.held && recheck.Before(h.last.Refilled) {
		h.last.Available = recheck
	}
}

// refillTime estimates when the refill alone yields the tokens. If the burst has
// no room for them on top of the reserved tokens and those that other routers
// hold, the refill counts from when enough of those have expired.
func (a *account) refillTime(now time.Time, h *holder, tokens uint64) time.Time {
	wanted := toMicros(tokens)
	from := now
	others := a.held - h.held
	switch {
	case wanted <= saturatingSub(a.burst, others+a.reserved):
	case now.Before(a.fullyReservedUntil) && wanted <= saturatingSub(a.burst, others+a.burst/heldDivisor):
		from = a.fullyReservedUntil
	case now.Before(a.reservedUntil) && wanted <= saturatingSub(a.burst, others):
		from = a.reservedUntil
	default:
		from = now.Add(grantTTL)
	}
	missing := float64(saturatingSub(wanted+a.fallback.debt, a.level))
	perSecond := float64(max(a.rate, 1)) * microsPerToken * refillPerMille / 1000
	seconds := min(missing/perSecond, maxWaitSeconds)
	return from.Add(time.Duration(seconds*float64(time.Second)) + time.Microsecond)
}
