package ledger

import (
	"math/bits"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	microsPerToken = 1_000_000
	// refillPerMille keeps the refill within the rate on a clock that runs
	// fast by up to one part in a thousand.
	refillPerMille  = 999
	maxBurst        = 1 << 40
	maxTokensPerSec = 1 << 40
	recheckMillis   = 50
	// askGraceMillis is by how much a router in the queue may ask again late.
	askGraceMillis = 250
	askGrace       = askGraceMillis * time.Millisecond
	// longestWaitSeconds bounds what is told of a wait.
	longestWaitSeconds = 1 << 20
	// heldDivisor is the part of the burst that may be held for longer than
	// urgentLife.
	heldDivisor = 2
)

// account is the allowance of one workspace. Its amounts are in millionths of
// a token, and level + held + reserved + those of the generations never passes
// the burst: level may be granted, held is granted and may still be spent,
// reserved may be held from the owner before.
type account struct {
	rate          uint64 // tokens per second
	burst         uint64
	level         uint64
	held          uint64
	generations   generations
	reserved      uint64
	reservedUntil time.Time
	urgentUntil   time.Time // until when all of the burst is reserved
	at            time.Time // when level was brought up to date
	holders       map[boragewick.Incarnation]*holder
	queue         []*holder
}

// holder is what the account knows of one run of a router.
type holder struct {
	held       uint64 // millionths, until expires
	generation uint64 // of what is held
	creditable uint64 // tokens granted and not given back
	wanted     uint64
	least      uint64 // tokens it waits for in the queue
	askBy      time.Time
	expires    time.Time
	last       boragewick.Grant
}

// restart empties the account for a new owner. Grants of the owner before may
// be spent until reservedUntil, and more of them than may be held for expected
// requests until urgentLife is over.
func (a *account) restart(now, reservedUntil time.Time) {
	*a = account{rate: a.rate, burst: a.burst, at: now, reservedUntil: reservedUntil}
	a.urgentUntil = now.Add(urgentLife)
	if reservedUntil.Before(a.urgentUntil) {
		a.urgentUntil = reservedUntil
	}
	a.reserved = a.burst
	a.generations.restart(now)
}

func (a *account) setRate(now time.Time, rate, burst uint64) {
	a.advance(now)
	a.rate = min(rate, maxTokensPerSec)
	a.burst = min(burst, maxBurst) * microsPerToken
	switch {
	case now.Before(a.urgentUntil):
		a.reserved = max(a.reserved, a.burst)
	case now.Before(a.reservedUntil):
		a.reserved = max(a.reserved, a.burst/heldDivisor)
	}
	a.clamp()
}

// advance brings the account to now: it voids what expires on the way, each at
// its own instant, and refills between them.
func (a *account) advance(now time.Time) {
	if now.Before(a.at) {
		return
	}
	for at := a.nextExpiry(); !at.IsZero() && !at.After(now); at = a.nextExpiry() {
		a.refillTo(at)
		a.expire(at)
	}
	a.refillTo(now)
	a.clamp()
}

// nextExpiry tells when the next tokens expire; zero means that none do.
func (a *account) nextExpiry() time.Time {
	var next time.Time
	if a.reserved > 0 {
		next = a.reservedUntil
		if a.urgentUntil.After(a.at) {
			next = a.urgentUntil
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

// expire voids what expires by the instant and forgets silent routers.
func (a *account) expire(at time.Time) {
	for id, h := range a.holders {
		if h.held > 0 && !at.Before(h.expires) {
			a.release(h, h.held)
		}
		if at.Sub(h.expires) >= forgetAfter && h.least == 0 {
			delete(a.holders, id)
		}
	}
	if !at.Before(a.urgentUntil) {
		a.reserved = min(a.reserved, a.burst/heldDivisor)
	}
	if !at.Before(a.reservedUntil) {
		a.reserved = 0
	}
}

// refillTo adds what the rate gives up to the instant, as far as there is room.
func (a *account) refillTo(at time.Time) {
	if at.After(a.at) {
		a.level += a.refill(at.Sub(a.at))
		a.at = at
	}
	a.clamp()
}

// release counts tokens that were held as spent; they may be given back.
func (a *account) release(h *holder, micros uint64) {
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
	room := sub(a.burst, a.held+a.reserved)
	a.level = min(a.level, room)
	a.generations.squeeze(room - a.level)
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
	h.wanted = r.Wanted
	held := h.expires // by a router that does not get this grant
	if h.held == 0 {
		held = now
	}
	h.expires = now.Add(grantLife)
	h.generation = a.generations.current(now, a.generationLife())
	h.last = boragewick.Grant{
		Workspace:  r.Workspace,
		Number:     r.Number,
		Renewed:    h.held / microsPerToken,
		Generation: h.generation,
		Now:        now,
		Burst:      a.burst / microsPerToken,
	}
	a.decide(now, h, r)
	if a.urgent(h, r) {
		h.expires = now.Add(urgentLife)
	}
	h.last.Expires = h.expires
	if held.After(h.expires) {
		h.expires = held
	}
	a.take(h, h.last.Tokens)
	h.last.TokensPerSecond = max(1, a.rate/uint64(max(1, len(a.queue))))
	return h.last, nil
}

// urgent reports whether the grant decided on must be short-lived: it goes to
// waiting requests alone, or more than may be held for longer would be.
func (a *account) urgent(h *holder, r boragewick.GrantRequest) bool {
	if h.held == 0 && h.last.Tokens <= r.Least {
		return true
	}
	return a.held+toMicros(h.last.Tokens) > a.burst/heldDivisor
}

// generationLife is a part of the time in which the whole burst refills.
func (a *account) generationLife() time.Duration {
	seconds := float64(a.burst) / microsPerToken / float64(max(a.rate, 1)) * 2 / maxGenerations
	return max(time.Second, time.Duration(min(seconds, longestWaitSeconds)*float64(time.Second)))
}

// settle takes in what the router tells of earlier grants.
func (a *account) settle(h *holder, r boragewick.GrantRequest) {
	renewed := min(toMicros(r.Held), h.held)
	a.release(h, h.held-renewed)
	for _, t := range r.Settled {
		credit := min(t.Returned, h.creditable)
		h.creditable -= credit
		a.generations.remove(t.Generation, toMicros(t.Used))
		a.level += a.generations.remove(t.Generation, toMicros(credit))
	}
}

func (a *account) take(h *holder, tokens uint64) {
	micros := tokens * microsPerToken
	a.level -= micros
	a.held += micros
	h.held += micros
	h.creditable += tokens
}

// decide sets the tokens of h.last, and Available when they are not all that
// was wanted. Waiting requests are served in the order in which they asked.
func (a *account) decide(now time.Time, h *holder, r boragewick.GrantRequest) {
	ahead, behind := a.queued(now, h)
	level := a.level / microsPerToken
	if r.Least > 0 && sub(level, ahead) < r.Least {
		a.promise(now, h, ahead+r.Least)
		waits := now.Add(time.Duration(min(r.WaitMillis, longestWaitSeconds)) * time.Millisecond)
		if h.last.Available.After(waits) {
			a.dequeue(h)
			return
		}
		a.enqueue(h, r.Least)
		h.askBy = earlier(h.last.Available, waits).Add(askGrace)
		return
	}
	a.dequeue(h)
	spare := sub(level, r.Least+ahead+behind)
	expected := sub(r.Wanted, r.Least)
	extra := min(a.fairShare(spare, expected), a.prefetchRoom(r.Least))
	h.last.Tokens = r.Least + extra
	if extra < expected {
		a.promise(now, h, h.last.Tokens+ahead+behind+expected-extra)
	}
}

// promise tells the router when the level can have the tokens.
func (a *account) promise(now time.Time, h *holder, tokens uint64) {
	h.last.Refilled = a.refilled(now, h, tokens)
	h.last.Available = h.last.Refilled
	recheck := now.Add(recheckMillis * time.Millisecond)
	if toMicros(tokens) <= a.level+a.held-h.held && recheck.Before(h.last.Refilled) {
		h.last.Available = recheck
	}
}

// prefetchRoom is what may be granted ahead after the tokens.
func (a *account) prefetchRoom(tokens uint64) uint64 {
	return sub(a.burst/heldDivisor, a.held+toMicros(tokens)) / microsPerToken
}

// fairShare divides the spare tokens by what the routers wanted last.
func (a *account) fairShare(spare, expected uint64) uint64 {
	var wanted uint64
	for _, h := range a.holders {
		if h.expires.After(a.at) {
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

// refilled estimates when the level has the tokens by the refill alone, after
// the grants of other routers have expired when there is no room besides them.
func (a *account) refilled(now time.Time, h *holder, tokens uint64) time.Time {
	wanted := toMicros(tokens)
	from := now
	if wanted > sub(a.burst, a.held-h.held+a.reserved) {
		from = now.Add(grantLife)
	}
	missing := float64(sub(wanted, a.level))
	perSecond := float64(max(a.rate, 1)) * microsPerToken * refillPerMille / 1000
	seconds := min(missing/perSecond, longestWaitSeconds)
	return from.Add(time.Duration(seconds*float64(time.Second)) + time.Microsecond)
}

// queued returns the tokens that wait before and behind the holder and drops
// routers that did not ask again in time.
func (a *account) queued(now time.Time, h *holder) (ahead, behind uint64) {
	live := a.queue[:0]
	found := false
	for _, q := range a.queue {
		switch {
		case q == h:
			found = true
		case now.After(q.askBy):
			q.least = 0
			continue
		case found:
			behind += q.least
		default:
			ahead += q.least
		}
		live = append(live, q)
	}
	clear(a.queue[len(live):])
	a.queue = live
	return ahead, behind
}

func (a *account) enqueue(h *holder, least uint64) {
	if h.least == 0 {
		a.queue = append(a.queue, h)
	}
	h.least = least
}

func (a *account) dequeue(h *holder) {
	if h.least == 0 {
		return
	}
	h.least = 0
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

// sub returns x-y or zero when y is larger.
func sub(x, y uint64) uint64 {
	return x - min(x, y)
}
