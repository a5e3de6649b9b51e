package servicerate

import (
	"math"
	"time"

	"github.com/boragewick/boragewick"
)

// Observe learns from a request of the endpoint. The whole difference between the time and
// the estimate is attributed to one part of the work; a request for which no part clearly
// prevails is ignored. The pool learns from the same difference.
func (r *Rates) Observe(s *boragewick.ServiceSample) {
	if r.Prior == nil || !(s.Millis >= 0) || math.IsInf(s.Millis, 0) {
		return
	}
	cost := r.Cost(s.Factor, s.At)
	p, ok := attribute(&cost, &s.Load)
	if !ok {
		return
	}
	expected, total := partMillis(p, &cost, &s.Load), cost.Millis(&s.Load)
	if s.Unfinished && s.Millis <= total {
		return
	}
	// What the other parts are expected to take leaves nothing if they are overestimated.
	observed := max(s.Millis-(total-expected), expected*math.Exp(-maxError))
	initial := boragewick.ServiceCost{Token: tokenMillis, Waiting: waitingMillis, Running: runningMillis}
	value := math.Log(observed / (usable(s.Factor) * partMillis(p, &initial, &s.Load)))
	r.learn(p, value-r.Prior.learned[p].mean(), s)
	if !s.Unfinished {
		r.Prior.learn(p, value, s)
	}
}

// learn adds a sample, which is the logarithm of its ratio to the prior.
func (r *Rates) learn(p part, value float64, s *boragewick.ServiceSample) {
	r.decay(s.At)
	r.learned[p].add(value, maxError, r.limit())
	if p == tokens && r.Prior == nil {
		r.low.add(value, maxExcess, r.limit())
	}
	r.refreshAt = time.Time{}
}

// attribute returns the part of the work to which the time of a request is attributed. With
// requests ahead it is their delay if that prevails. Otherwise it is the greater of prefill
// and the delay of running requests.
func attribute(c *boragewick.ServiceCost, l *boragewick.ServiceLoad) (part, bool) {
	total := c.Millis(l)
	prevails := func(p part) bool {
		millis := partMillis(p, c, l)
		return millis > 0 && 2*millis >= total && (millis >= minMillis || millis == total && p == waiting)
	}
	switch {
	case l.Waiting > 0:
		return waiting, prevails(waiting)
	case l.TokensAhead > 0:
		return 0, false
	case prevails(tokens):
		return tokens, true
	default:
		return running, prevails(running)
	}
}

// partMillis returns how long a part of the work takes.
func partMillis(p part, c *boragewick.ServiceCost, l *boragewick.ServiceLoad) float64 {
	switch p {
	case tokens:
		return float64(l.Tokens+l.TokensAhead) * c.Token
	case waiting:
		return float64(l.Waiting) * c.Waiting
	default:
		return float64(l.Running) * c.Running
	}
}
