package ledger

import (
	"math/bits"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	microsPerToken = 1_000_000
	// refillPerMille keeps the refill within the rate even if the clock runs
	// fast by up to one part in a thousand.
	refillPerMille  = 999
	maxBurst        = 1 << 40
	maxTokensPerSec = 1 << 40
	recheckMillis   = 50
	// retryGraceMillis is how late a queued router may ask again before it
	// loses its place.
	retryGraceMillis = 250
	retryGrace       = retryGraceMillis * time.Millisecond
	// maxWaitSeconds caps estimated waiting times.
	maxWaitSeconds = 1 << 20
	// heldDivisor sets the part of the burst, 1/heldDivisor, that may be held
	// for longer than shortGrantTTL.
	heldDivisor = 2
)

// account is the token bucket of one workspace. Its amounts are in millionths
// of a token, and level + held + reserved + those of the generations never
// exceed the burst: level may be granted, held is granted and may still be
// spent, reserved may still be held under grants of the previous owner.
type account struct {
	rate               uint64 // tokens per second
	burst              uint64
	level              uint64
	held               uint64
	generations        generations
	reserved           uint64
	reservedUntil      time.Time
	fullyReservedUntil time.Time
	updatedAt          time.Time
	// shortLived reports whether all grants are short-lived.
	shortLived bool
	holders    map[boragewick.Incarnation]*holder
	queue      []*holder
	fallback   fallback
}

// holder is the account's state for one run of a router.
type holder struct {
	held         uint64 // millionths, until expires
	generation   uint64 // of the held tokens
	returnable   uint64 // tokens granted and not returned
	wanted       uint64
	queuedTokens uint64 // tokens it waits for; zero when not in the queue
	retryBy      time.Time
	expires      time.Time
	last         boragewick.Grant
	fallback     fallbackShare
}

// reset empties the account for a new owner. Grants of the previous owner may
// be spent until reservedUntil, and more than 1/heldDivisor of the burst only
// until shortGrantTTL has passed.
func (a *account) reset(now, reservedUntil time.Time) {
	*a = account{rate: a.rate, burst: a.burst, shortLived: a.shortLived, updatedAt: now, reservedUntil: reservedUntil, fallback: a.fallback.emptied()}
	a.fullyReservedUntil = now.Add(shortGrantTTL)
	if reservedUntil.Before(a.fullyReservedUntil) {
		a.fullyReservedUntil = reservedUntil
	}
	a.reserved = a.burst
	a.generations.reset(now)
}

func (a *account) setRate(now time.Time, rate, burst uint64) {
	a.advance(now)
	a.rate = min(rate, maxTokensPerSec)
	a.burst = min(burst, maxBurst) * microsPerToken
	switch {
	case now.Before(a.fullyReservedUntil):
		a.reserved = max(a.reserved, a.burst)
	case now.Before(a.reservedUntil):
		a.reserved = max(a.reserved, a.burst/heldDivisor)
	}
	a.clamp()
}

// advance brings the account up to now: it expires tokens on the way, each at
// its own expiry, and refills in between.
func (a *account) advance(now time.Time) {
	if now.Before(a.updatedAt) {
		return
	}
	for at := a.nextExpiry(); !at.IsZero() && !at.After(now); at = a.nextExpiry() {
		a.refillTo(at)
		a.expire(at)
	}
	a.refillTo(now)
	a.clamp()
}

// nextExpiry returns when the next held or reserved tokens expire; zero means
// that none do.
func (a *account) nextExpiry() time.Time {
	var next time.Time
	if a.reserved > 0 {
		next = a.reservedUntil
		if a.fullyReservedUntil.After(a.updatedAt) {
			next = a.fullyReservedUntil
		}
	}
	if a.held == 0 {
		return next
	}
	for _, h := range a.holders {
		if h.held > 0 && (next.IsZero() || h.expires.Before(next)) {
			next = h.expires
		}
	}
	return next
}

// expire ends the grants and reservations that are due by the instant and drops
// idle holders.
func (a *account) expire(at time.Time) {
	for id, h := range a.holders {
		if h.held > 0 && !at.Before(h.expires) {
			a.markSpent(h, h.held)
		}
		if at.Sub(h.expires) >= holderRetention && h.queuedTokens == 0 {
			delete(a.holders, id)
		}
	}
	if !at.Before(a.fullyReservedUntil) {
		a.reserved = min(a.reserved, a.burst/heldDivisor)
	}
	if !at.Before(a.reservedUntil) {
		a.reserved = 0
	}
}

// refillTo adds the tokens that the rate yields up to the instant, as far as
// there is room.
func (a *account) refillTo(at time.Time) {
	if at.After(a.updatedAt) {
		a.level += a.refill(at.Sub(a.updatedAt))
		a.updatedAt = at
	}
	a.payDebt()
	a.clamp()
}

// markSpent counts held tokens as spent. The router may still return them.
func (a *account) markSpent(h *holder, micros uint64) {
	h.held -= micros
	a.held -= micros
	a.generations.add(h.generation, micros)
}

func (a *account) refill(elapsed time.Duration) uint64 {
	const divisor = uint64(time.Second) / microsPerToken * 1000
	hi, lo := bits.Mul64(a.rate*refillPerMille, uint64(elapsed))
	if hi >= divisor {
		return a.burst
	}
	micros, _ := bits.Div64(hi, lo, divisor)
	return min(micros, a.burst)
}

func (a *account) clamp() {
	room := saturatingSub(a.burst, a.held+a.reserved)
	a.level = min(a.level, room)
	a.generations.trim(room - a.level)
}

func (a *account) grant(now time.Time, r boragewick.GrantRequest) (boragewick.Grant, error) {
	a.advance(now)
	h := a.holders[r.Incarnation]
	if h == nil {
		h = &holder{}
		if a.holders == nil {
			a.holders = make(map[boragewick.Incarnation]*holder)
		}
		a.holders[r.Incarnation] = h
	}
	if r.Number == h.last.Number {
		return h.last, nil
	}
	if r.Number < h.last.Number {
		return boragewick.Grant{}, errors.Wrapf(boragewick.ErrProtocol, "grant request %d after %d", r.Number, h.last.Number)
	}
	a.settle(h, r)
	a.settleFallback(h, r)
	h.wanted = r.Wanted
	priorExpiry := h.expires // applies if the router does not get this grant
	if h.held == 0 {
		priorExpiry = now
	}
	h.expires = now.Add(grantTTL)
	h.generation = a.generations.current(now, a.generationPeriod())
	h.last = boragewick.Grant{
		Workspace:  r.Workspace,
		Number:     r.Number,
		Renewed:    h.held / microsPerToken,
		Generation: h.generation,
		Now:        now,
		Burst:      a.burst / microsPerToken,
	}
	a.decide(now, h, r)
	if a.isShortLived(h, r) {
		h.expires = now.Add(shortGrantTTL)
	}
	h.last.Expires = h.expires
	if priorExpiry.After(h.expires) {
		h.expires = priorExpiry
	}
	a.hold(h, h.last.Tokens)
	a.shareFallback(now, h, r)
	h.last.TokensPerSecond = max(1, a.rate/uint64(max(1, len(a.queue))))
	return h.last, nil
}

// isShortLived reports whether the grant in h.last must be short-lived: it goes
// to waiting requests alone, or it raises the held tokens above the part of the
// burst that may be held for longer.
func (a *account) isShortLived(h *holder, r boragewick.GrantRequest) bool {
	if a.shortLived || h.held == 0 && h.last.Tokens <= r.Least {
		return true
	}
	return a.held+toMicros(h.last.Tokens) > a.burst/heldDivisor
}

// generationPeriod is how long grants share a generation: a part of the time in
// which the whole burst refills, but at least a second.
func (a *account) generationPeriod() time.Duration {
	seconds := float64(a.burst) / microsPerToken / float64(max(a.rate, 1)) * 2 / maxGenerations
	return max(time.Second, time.Duration(min(seconds, maxWaitSeconds)*float64(time.Second)))
}

// settle applies what the router reports about earlier grants.
func (a *account) settle(h *holder, r boragewick.GrantRequest) {
	renewed := min(toMicros(r.Held), h.held)
	a.markSpent(h, h.held-renewed)
	for _, t := range r.Settled {
		refund := min(t.Returned, h.returnable)
		h.returnable -= refund
		a.generations.remove(t.Generation, toMicros(t.Used))
		a.level += a.generations.remove(t.Generation, toMicros(refund))
	}
}

func (a *account) hold(h *holder, tokens uint64) {
	micros := tokens * microsPerToken
	a.level -= micros
	a.held += micros
	h.held += micros
	h.returnable += tokens
}

// decide sets h.last.Tokens, and the estimates of availability when less than
// wanted is granted. Waiting requests are served in the order in which they
// asked.
func (a *account) decide(now time.Time, h *holder, r boragewick.GrantRequest) {
	ahead, behind := a.queued(now, h)
	level := a.level / microsPerToken
	if r.Least > 0 && saturatingSub(level, ahead) < r.Least {
		a.estimateAvailability(now, h, ahead+r.Least)
		waitLimit := now.Add(time.Duration(min(r.WaitMillis, maxWaitSeconds)) * time.Millisecond)
		if h.last.Available.After(waitLimit) {
			a.dequeue(h)
			return
		}
		a.enqueue(h, r.Least)
		h.retryBy = earlier(h.last.Available, waitLimit).Add(retryGrace)
		return
	}
	a.dequeue(h)
	spare := saturatingSub(level, r.Least+ahead+behind)
	expected := saturatingSub(r.Wanted, r.Least)
	extra := min(a.fairShare(spare, expected), a.prefetchRoom(r.Least))
	h.last.Tokens = r.Least + extra
	if extra < expected {
		a.estimateAvailability(now, h, h.last.Tokens+ahead+behind+expected-extra)
	}
}

// prefetchRoom returns how many tokens may be granted ahead of demand on top of
// the given ones.
func (a *account) prefetchRoom(tokens uint64) uint64 {
	return saturatingSub(a.burst/heldDivisor, a.held+toMicros(tokens)) / microsPerToken
}

// fairShare divides the spare tokens in proportion to what the routers wanted
// last and returns at most the expected ones.
func (a *account) fairShare(spare, expected uint64) uint64 {
	var wanted uint64
	for _, h := range a.holders {
		if h.expires.After(a.updatedAt) {
			wanted += h.wanted
		}
	}
	if wanted <= spare {
		return min(expected, spare)
	}
	hi, lo := bits.Mul64(spare, expected)
	if hi >= wanted {
		return min(expected, spare)
	}
	share, _ := bits.Div64(hi, lo, wanted)
	return min(expected, spare, share)
}

// queued returns the tokens queued ahead of and behind the holder. It drops
// routers that did not ask again in time.
func (a *account) queued(now time.Time, h *holder) (ahead, behind uint64) {
	live := a.queue[:0]
	found := false
	for _, q := range a.queue {
		switch {
		case q == h:
			found = true
		case now.After(q.retryBy):
			q.queuedTokens = 0
			continue
		case found:
			behind += q.queuedTokens
		default:
			ahead += q.queuedTokens
		}
		live = append(live, q)
	}
	clear(a.queue[len(live):])
	a.queue = live
	return ahead, behind
}

func (a *account) enqueue(h *holder, least uint64) {
	if h.queuedTokens == 0 {
		a.queue = append(a.queue, h)
	}
	h.queuedTokens = least
}

func (a *account) dequeue(h *holder) {
	if h.queuedTokens == 0 {
		return
	}
	h.queuedTokens = 0
	for i, q := range a.queue {
		if q == h {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

func toMicros(tokens uint64) uint64 {
	return min(tokens, maxBurst) * microsPerToken
}

// saturatingSub returns x-y, or zero when y is larger.
func saturatingSub(x, y uint64) uint64 {
	return x - min(x, y)
}
