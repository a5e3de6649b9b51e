package allowance

import (
	"slices"
	"time"
)

// usage records the tokens spent and finds the interval that exceeds the rate most.
type usage struct {
	rate, burst float64
	at          time.Time
	allowed     float64 // tokens allowed by the rate since the start
	spent       []spending
}

// spending is one request. peak is the maximum excess over the rate of any interval
// that ends with it.
type spending struct {
	allowed, tokens, peak float64
}

func (u *usage) advance(now time.Time) {
	u.allowed += u.rate * now.Sub(u.at).Seconds()
	u.at = now
}

func (u *usage) setRate(now time.Time, rate float64) {
	u.advance(now)
	u.rate = rate
}

// spend records tokens and returns their index for settle.
func (u *usage) spend(now time.Time, tokens float64) int {
	u.advance(now)
	u.spent = append(u.spent, spending{allowed: u.allowed, tokens: tokens})
	u.update(len(u.spent) - 1)
	return len(u.spent) - 1
}

// settle corrects a spending to the tokens used.
func (u *usage) settle(index int, used float64) {
	u.spent[index].tokens = used
	u.update(index)
}

func (u *usage) update(from int) {
	for i := from; i < len(u.spent); i++ {
		s := &u.spent[i]
		before := s.peak
		s.peak = s.tokens
		if i > 0 {
			s.peak += max(0, u.spent[i-1].peak-(s.allowed-u.spent[i-1].allowed))
		}
		if i > from && s.peak == before {
			return
		}
	}
}

// excess returns the maximum excess over the rate of any interval that ends now.
func (u *usage) excess(now time.Time) float64 {
	u.advance(now)
	if len(u.spent) == 0 {
		return 0
	}
	last := u.spent[len(u.spent)-1]
	return max(0, last.peak-(u.allowed-last.allowed))
}

// idealBucket is a single token bucket that serves all requests without delay in
// order of arrival. It holds the rate over every interval: returned tokens count
// only as far as the bucket has not refilled without them.
type idealBucket struct {
	rate, burst, level float64
	at                 time.Time
	unsettled          []*float64 // returnable tokens, the oldest first
}

// reserve returns the returnable tokens, nil when the tokens cannot be had within
// maxWait, and whether they are available at once. The level falls below zero while
// requests wait.
func (b *idealBucket) reserve(now time.Time, tokens float64, maxWait time.Duration) (reserved *float64, atOnce bool) {
	b.advance(now)
	atOnce = b.level >= tokens
	if tokens > b.burst || (tokens-b.level)/b.rate > maxWait.Seconds() {
		return nil, false
	}
	b.level -= tokens
	b.unsettled = append(b.unsettled, &tokens)
	return &tokens, atOnce
}

func (b *idealBucket) settle(now time.Time, reserved *float64, returned float64) {
	b.advance(now)
	b.level += min(returned, *reserved)
	*reserved = 0
	b.unsettled = slices.DeleteFunc(b.unsettled, func(u *float64) bool { return u == reserved })
}

func (b *idealBucket) advance(now time.Time) {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	excess := b.level - b.burst
	for _, u := range b.unsettled {
		excess += *u
	}
	for _, u := range b.unsettled {
		lost := max(0, min(excess, *u))
		*u -= lost
		excess -= lost
	}
}
