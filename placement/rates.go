package placement

import (
	"maps"
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/servicerate"
)

// headerLoadTTL is how long the load in an answer is recent enough to learn from requests at
// an endpoint without an agent. Agents report every 30 to 200 ms.
const headerLoadTTL = 200 * time.Millisecond

// maxPools is the number of pools from which on those without endpoints are forgotten.
const maxPools = 256

// initialCost applies to endpoints whose pool has no learned rates.
var initialCost = new(servicerate.Rates).Cost(0, time.Time{})

// endpointRates are the learned rates of an endpoint. They are kept apart from endpointState,
// as Select goes through the latter of thousands of endpoints.
type endpointRates struct {
	servicerate.Rates
	standing standing
}

// poolRates are the learned rates of a pool.
type poolRates struct {
	rates servicerate.Rates
	// inUse is set once an endpoint of the pool has advertised a time factor. Until then,
	// the pool's endpoints count as equally fast.
	inUse bool
}

// standing is how an endpoint compares with its pool.
type standing int8

const (
	usual standing = iota
	fast
	slow
)

const (
	// unusualRatio is the ratio of an endpoint's times to its pool's from which on it is
	// logged as slow, and usualRatio the one below which it is logged as usual again. The
	// gap keeps endpoints near a bound from being logged with each request.
	unusualRatio = 1.5
	usualRatio   = 1.25
)

// poolRatesOf returns the rates of the pool.
func (p *Placement) poolRatesOf(pool string) *poolRates {
	r := p.rates[pool]
	if r == nil {
		if p.rates == nil {
			p.rates = map[string]*poolRates{}
		}
		if len(p.rates) >= maxPools {
			maps.DeleteFunc(p.rates, func(name string, _ *poolRates) bool { return len(p.pools[name]) == 0 })
		}
		r = &poolRates{}
		p.rates[pool] = r
	}
	return r
}

// assignPool sets the pool whose rates are the prior of the endpoint's.
func (s *endpointState) assignPool(r *poolRates) {
	if s.poolRates == r {
		return
	}
	s.poolRates, s.rates = r, nil
}

// learned returns the rates of an endpoint in a pool with learned rates.
func (s *endpointState) learned() *endpointRates {
	if s.rates == nil {
		s.rates = &endpointRates{Rates: servicerate.Rates{Prior: &s.poolRates.rates}}
	}
	return s.rates
}

// learnsRates reports whether learned rates apply to the endpoint.
func (s *endpointState) learnsRates() bool { return s.poolRates != nil && s.poolRates.inUse }

// serviceCost returns how long the parts of work take at the endpoint.
func (s *endpointState) serviceCost(now time.Time) boragewick.ServiceCost {
	if !s.learnsRates() {
		return initialCost
	}
	return s.learned().Cost(s.pace.at(now), now)
}

// serviceMillis returns how long the endpoint takes until the first token if it prefills
// everything after the first cached parts.
func (s *endpointState) serviceMillis(sel *boragewick.Selection, cached int, rates *boragewick.ServiceCost, now time.Time) float64 {
	load := s.load(max(0, int(sel.PromptTokens)-leadingTokens(sel, cached)), now)
	return rates.Millis(&load)
}

// load returns the work that delays a request that is sent now.
func (s *endpointState) load(tokens int, now time.Time) boragewick.ServiceLoad {
	if r := s.report; r != nil && s.Kind != boragewick.EndpointPlain {
		return boragewick.ServiceLoad{Tokens: tokens, TokensAhead: r.sentTokens, Waiting: r.queued + r.prefilling, Running: r.active + r.sentRequests}
	}
	running, waiting := s.reportedLoad(now)
	if s.Kind == boragewick.EndpointPlain {
		l := boragewick.ServiceLoad{Waiting: running + waiting + s.inFlight}
		if s.learnsRates() {
			l.Waiting++ // an idle endpoint that is slow costs more than an idle fast one
		}
		return l
	}
	return boragewick.ServiceLoad{Tokens: tokens, TokensAhead: s.prefillTokens, Waiting: waiting, Running: running + s.inFlight}
}

// useRates makes learned rates apply to the endpoint's pool if the endpoint advertises a time
// factor.
func (p *Placement) useRates(s *endpointState, factor float64) {
	if factor <= 0 || s.poolRates == nil || s.poolRates.inUse {
		return
	}
	s.poolRates.inUse = true
	if p.Logger != nil {
		_ = level.Info(p.Logger).Log("msg", "pool uses learned rates", "pool", s.Pool, "endpoint", s.Name, "time_factor", factor)
	}
}

// logStanding logs that the endpoint has become slower or faster than its pool, or is no
// longer so.
func (p *Placement) logStanding(s *endpointState, now time.Time) {
	rates := s.learned()
	ratio := rates.Ratio(now)
	is := rates.standing
	switch distance := max(ratio, 1/ratio); {
	case distance < usualRatio:
		is = usual
	case distance >= unusualRatio && ratio > 1:
		is = slow
	case distance >= unusualRatio:
		is = fast
	}
	if is == rates.standing {
		return
	}
	was := rates.standing
	rates.standing = is
	if p.Logger != nil {
		c := rates.Cost(1, now)
		_ = level.Info(p.Logger).Log("msg", "endpoint's learned rate changed", "endpoint", s.Name, "pool", s.Pool, "is", is, "was", was,
			"ratio", hundredths(ratio), "time_factor", hundredths(s.pace.at(now)), "token_us", hundredths(1000*c.Token),
			"waiting_ms", hundredths(c.Waiting), "running_ms", hundredths(c.Running))
	}
}

// String returns the standing for the log.
func (s standing) String() string { return [...]string{"usual", "fast", "slow"}[s] }

// hundredths rounds a value for the log.
func hundredths(v float64) float64 { return math.Round(v*100) / 100 }
