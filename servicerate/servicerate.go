// Package servicerate learns how long the parts of an endpoint's work take from the times to
// the first event of a router's own requests.
package servicerate

import (
	"math"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// tokenMillis, waitingMillis and runningMillis apply without samples.
	tokenMillis   = 1 / 50.0
	waitingMillis = 45.0
	runningMillis = 1.5
	// maxRatio bounds an endpoint's costs, with its time factor, relative to those of its
	// pool, and maxPoolRatio a pool's costs relative to the constants.
	maxRatio     = 5.0
	maxPoolRatio = 20.0
	// priorWeight is the number of samples that the prior counts as.
	priorWeight = 4.0
	// maxWeight bounds the number of samples that the past counts as, so that a lasting
	// change shows within some tens of requests at a high rate, too.
	maxWeight = 48.0
	// memory is the time constant with which an endpoint's samples lose their weight, and
	// poolMemory that of a pool. One of 24 routers sends an engine about one request in
	// 5 s. An endpoint that is shunned gets no samples, so its memory must also be short
	// enough for it to be tried again.
	memory     = 10 * time.Second
	poolMemory = time.Minute
	// maxError bounds how far one sample may be from the present estimate, as a logarithm.
	// It is a factor of 1.65, below the 2.5 of an engine that is slowed for a moment.
	maxError = 0.5
	// maxExcess is the same for a longer time than estimated in the low mean of a pool.
	// Reports are 30 to 200 ms old, so some requests that seem to find an idle engine wait
	// for one of another router. If one in five takes three times as long, the low mean is
	// 4% too high; with maxError it would be 12%.
	maxExcess = 0.2
	// minMillis is the least part of an estimate that is corrected by a sample with several
	// parts. The time also contains the round trip and a part of the engine's step of 6 ms
	// and more.
	minMillis = 10.0
	// refreshInterval is how long computed ratios are used. Within it memory changes the
	// weight of the samples by 1%.
	refreshInterval = 100 * time.Millisecond
)

// part is a part of the work with a cost of its own.
type part int

const (
	tokens part = iota
	waiting
	running
	partCount
)

// Rates are the learned costs of one endpoint, relative to those of its pool, or those of a
// pool, relative to constants. The zero value has no samples. Rates are not safe for
// concurrent use.
type Rates struct {
	// Prior are the rates of the endpoint's pool; nil for those of a pool.
	Prior *Rates

	learned [partCount]deviation
	// low is like learned for prefill, without most of what requests of other routers delay
	// it. It is used for pools only: an endpoint is compared with what is usual in its pool.
	low       deviation
	decayedAt time.Time
	// ratios are derived from learned. They are valid until refreshAt.
	ratios    [partCount]float64
	refreshAt time.Time
	// cost is that of a pool.
	cost boragewick.ServiceCost
}

// deviation is a decaying mean of how far samples are from the prior, as logarithms of
// their ratio.
type deviation struct{ sum, weight float64 }

// mean returns the mean with the prior counted as samples without deviation.
func (d *deviation) mean() float64 { return d.sum / (d.weight + priorWeight) }

// add adds a sample. It is moved to within maxError below the mean, maxAbove above the mean,
// and the limit around the prior.
func (d *deviation) add(value, maxAbove, limit float64) {
	mean := d.mean()
	d.sum += clamp(max(mean-maxError, min(mean+maxAbove, value)), limit)
	d.weight++
	if d.weight > maxWeight {
		d.scale(maxWeight / d.weight)
	}
}

// scale changes the weight of all samples.
func (d *deviation) scale(factor float64) {
	d.sum *= factor
	d.weight *= factor
}

// clamp bounds the absolute value.
func clamp(v, limit float64) float64 { return max(-limit, min(limit, v)) }

// Cost returns the costs to expect from an endpoint that advertises the time factor; zero
// means none. They are within a factor of 5 of those of the pool.
func (r *Rates) Cost(factor float64, now time.Time) boragewick.ServiceCost {
	r.refresh(now)
	if r.Prior == nil {
		return r.cost
	}
	r.Prior.refresh(now)
	c := &r.Prior.cost
	factor = usable(factor)
	return boragewick.ServiceCost{
		Token:   c.Token * bounded(factor*r.ratios[tokens]),
		Waiting: c.Waiting * bounded(factor*r.ratios[waiting]),
		Running: c.Running * bounded(factor*r.ratios[running]),
	}
}

// Ratio returns how long prompt tokens or, at a plain endpoint, requests take relative to the
// pool beyond what the time factor explains; it is the part with the larger deviation.
func (r *Rates) Ratio(now time.Time) float64 {
	r.refresh(now)
	if math.Abs(math.Log(r.ratios[waiting])) > math.Abs(math.Log(r.ratios[tokens])) {
		return r.ratios[waiting]
	}
	return r.ratios[tokens]
}

// usable returns the factor within the bounds of costs; 1 if it is none.
func usable(factor float64) float64 {
	if !(factor > 0) { // also if it is not a number
		return 1
	}
	return bounded(factor)
}

// bounded returns the ratio within the bounds of an endpoint's costs. Comparisons take a fraction
// of the time of max and min, which also consider values that are not numbers.
func bounded(ratio float64) float64 {
	if ratio > maxRatio {
		return maxRatio
	}
	if ratio < 1/maxRatio {
		return 1 / maxRatio
	}
	return ratio
}

// refresh derives the ratios unless they have just been.
func (r *Rates) refresh(now time.Time) {
	if left := r.refreshAt.Sub(now); left > 0 && left <= refreshInterval {
		return
	}
	r.derive(now)
}

// derive derives the ratios from the samples and the time.
func (r *Rates) derive(now time.Time) {
	r.decay(now)
	for i := range r.learned {
		r.ratios[i] = math.Exp(r.learned[i].mean())
	}
	if r.Prior == nil {
		r.ratios[tokens] = math.Exp(r.low.mean())
		r.cost = boragewick.ServiceCost{Token: tokenMillis * r.ratios[tokens], Waiting: waitingMillis * r.ratios[waiting], Running: runningMillis * r.ratios[running]}
	}
	r.refreshAt = now.Add(refreshInterval)
}

// decay reduces the weight of the samples for the time since the last call.
func (r *Rates) decay(now time.Time) {
	passed := now.Sub(r.decayedAt)
	if passed > 0 && !r.decayedAt.IsZero() {
		m := memory
		if r.Prior == nil {
			m = poolMemory
		}
		factor := math.Exp(-passed.Seconds() / m.Seconds())
		for i := range r.learned {
			r.learned[i].scale(factor)
		}
		r.low.scale(factor)
	}
	r.decayedAt = now
}

// limit returns how far the ratio may be from the prior, as a logarithm.
func (r *Rates) limit() float64 {
	if r.Prior == nil {
		return math.Log(maxPoolRatio)
	}
	return math.Log(maxRatio)
}
