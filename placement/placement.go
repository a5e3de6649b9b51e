// Package placement selects endpoints by what a router sees in its own traffic
// (the parts of prompts that it has sent to each endpoint, its requests in flight
// and the load that responses report) and by what agents and stores report.
// Routers share no state: rendezvous hashing gives each prompt the same home
// endpoint at all of them.
package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

const (
	// fetchTokensPerMilli is the assumed speed at which an engine fetches cached
	// parts from another engine. fetchOverheadMillis is the assumed additional cost
	// of a fetch, including the cache space that the copy takes from other parts.
	fetchTokensPerMilli = 1000.0
	fetchOverheadMillis = 10.0
	// oldWeightsPenaltyMillis is the cost added at endpoints that don't serve the
	// requested version of the weights.
	oldWeightsPenaltyMillis = 60.0
	// expiringWeightsPenaltyMillis is added at engines whose weights are older than the
	// request prefers, so that they only get what the others would keep waiting.
	expiringWeightsPenaltyMillis = 400.0
	// newConnectionMillis is the cost added at engines to which this router keeps no
	// connection, so that it does not open one for each request. connectionTTL is how
	// long one is kept.
	newConnectionMillis = 15.0
	connectionTTL       = 3500 * time.Millisecond
	// limitedPenaltyMillis is the cost added at endpoints that name a limit, of which the
	// router must first get a share. After limitedPenaltyTTL without an answer that names
	// it the endpoint is tried like others, as the limit may have ended.
	limitedPenaltyMillis = 20.0
	limitedPenaltyTTL    = 5 * time.Second
	// loadTTL is how long the load reported in a response counts.
	loadTTL = 3 * time.Second
	// partTTL is how long a part counts as cached after its last use.
	partTTL = 20 * time.Second
	// engineEventLag is how long after its request a part may be missing from the
	// agent's reports, because engines report changes of their caches late.
	engineEventLag = time.Second
	// minCachedPercent is the share of a part, in percent, that must be cached for
	// the part to count as cached, because engines cache whole blocks only.
	minCachedPercent = 90
	// maxParts bounds the parts remembered for one endpoint.
	maxParts = 4096
	// maxCandidates is the number of candidates for each version of the weights.
	maxCandidates = 8
)

// Placement is a boragewick.Selector. The zero value has no endpoints. It is
// safe for concurrent use.
type Placement struct {
	// Clock defaults to the clock of the instance.
	Clock boragewick.Clock
	// Zones decides whether requests leave the router's zone; nil means that zones are
	// not considered.
	Zones boragewick.ZonePolicy
	// Pauses tells which reports are older than a pause of the process; nil means that it has
	// none.
	Pauses boragewick.PauseMonitor
	// Logger and Metrics may be nil.
	Logger  log.Logger
	Metrics metrics.Registry

	mu        sync.Mutex
	endpoints map[string]*endpointState
	runs      map[string]*endpointRuns
	pools     map[string][]*endpointState
	rates     map[string]*poolRates
	forecasts forecastErrors
	stores    map[netip.AddrPort]*store
	spread    spread
	// prefilledAt is when each part was first seen to be prefilled by any engine.
	prefilledAt map[uint64]time.Time
}

// endpointState is what this router knows of one endpoint.
type endpointState struct {
	boragewick.Endpoint
	// published is a copy of the endpoint that is never changed.
	published *boragewick.Endpoint
	seed      uint64
	// partsLastUsed is when this router's requests last used each part there.
	partsLastUsed map[uint64]time.Time
	// inFlight counts this router's requests. prefillTokens are the tokens to
	// prefill for those that have had no first token yet.
	inFlight int
	// connectedUntil is until when a connection of this router is kept open after its
	// last request.
	connectedUntil time.Time
	prefillTokens  int
	// running and waiting are the load that the newest response reported. running
	// excludes this router's own requests.
	running, waiting int
	loadReportedAt   time.Time
	// slots is how many requests the endpoint runs at once; zero if unknown.
	slots int
	// pace is how long work takes there.
	pace timeFactor
	// poolRates are the learned rates of its pool, and rates those of the endpoint; nil
	// until they are needed.
	poolRates *poolRates
	rates     *endpointRates
	// report is what the engine's agent reports; nil while the agent is unreachable
	// or if there is none.
	report *agentReport
	// runs are those known of the endpoint; the newest may be another one than the registered.
	runs *endpointRuns
	// retryAt is the time before which the endpoint wants no requests from this
	// router.
	retryAt time.Time
	// limit is what the endpoint's answers name; nil without a limit. It is replaced and
	// not changed. deferredUntil is when this router may ask again for a share of it.
	limit         *boragewick.EndpointLimit
	deferredUntil time.Time
}

var _ boragewick.Selector = (*Placement)(nil)

// Update implements boragewick.EndpointObserver.
func (p *Placement) Update(changes ...boragewick.EndpointChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints == nil {
		p.endpoints = map[string]*endpointState{}
	}
	for i := range changes {
		p.update(&changes[i])
	}
	p.pools = map[string][]*endpointState{}
	for _, s := range p.endpoints {
		p.pools[s.Pool] = append(p.pools[s.Pool], s)
	}
	for _, list := range p.pools {
		slices.SortFunc(list, func(a, b *endpointState) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// update applies one change. Parts sent to an endpoint count as cached only until
// its agent restarts or its models change.
func (p *Placement) update(c *boragewick.EndpointChange) {
	s := p.endpoints[c.Endpoint.Name]
	if c.Removed {
		if s != nil {
			s.depart(p.now())
		}
		delete(p.endpoints, c.Endpoint.Name)
		p.forgetRuns(c.Endpoint.Name)
		p.forecasts.forget(p.Metrics, c.Endpoint.Name)
		return
	}
	if s == nil || s.Incarnation != c.Endpoint.Incarnation {
		s = &endpointState{seed: xxh3.HashString(c.Endpoint.Name), partsLastUsed: map[uint64]time.Time{}, runs: p.runsOf(c.Endpoint.Name, c.Endpoint.Incarnation)}
		s.runs.register(c.Endpoint.Incarnation)
		p.endpoints[c.Endpoint.Name] = s
	}
	if !slices.Equal(s.Models, c.Endpoint.Models) {
		clear(s.partsLastUsed)
	}
	published := c.Endpoint
	s.Endpoint, s.published = published, &published
	s.assignPool(p.poolRatesOf(s.Pool))
	switch {
	case c.Departing:
		s.depart(p.now())
	case s.Leaving:
		s.runs.newest.signalLeaving()
	default:
		s.runs.newest.takeWork()
	}
}

// depart records that the registered run leaves for good.
func (s *endpointState) depart(now time.Time) {
	if e := s.runs.find(s.Incarnation); e != nil {
		e.noteDeparture(now)
		e.signalLeaving()
	}
}

// cost estimates the milliseconds until the first token if the engine prefills
// everything after the first cached parts, and adds what makes the endpoint less
// desirable for other reasons.
func (s *endpointState) cost(sel *boragewick.Selection, cached int, rates *boragewick.ServiceCost, now time.Time) float64 {
	cost := 0.0
	if s.limit != nil && now.Sub(s.limit.NamedAt) < limitedPenaltyTTL {
		cost += limitedPenaltyMillis
	}
	if s.Kind != boragewick.EndpointPlain {
		if now.After(s.connectedUntil) {
			cost += newConnectionMillis
		}
		if !s.hasWeights(sel.Model) {
			cost += oldWeightsPenaltyMillis
		}
	}
	return cost + s.serviceMillis(sel, cached, rates, now)
}

// reportedLoad returns running and waiting, or zeros once they are older than
// loadTTL.
func (s *endpointState) reportedLoad(now time.Time) (running, waiting int) {
	if now.Sub(s.loadReportedAt) > loadTTL {
		return 0, 0
	}
	return s.running, s.waiting
}

// hasWeights reports whether the endpoint serves the model with the requested
// version of the weights.
func (s *endpointState) hasWeights(m boragewick.Model) bool {
	return m.Weights == "" || slices.ContainsFunc(s.Models, func(have boragewick.Model) bool {
		return have.Name == m.Name && have.Weights == m.Weights
	})
}

// cachedParts returns how many leading parts of the prompt the engine has cached,
// according to its agent or because this router recently sent them there.
func (s *endpointState) cachedParts(g *weightsGroup, now time.Time) int {
	ttl := partTTL
	if s.report != nil {
		ttl = engineEventLag
	}
	for i, key := range g.partKeys {
		if s.report != nil && s.report.cachedTokens[key] >= g.partTokens[i]*minCachedPercent/100 {
			continue
		}
		if now.Sub(s.partsLastUsed[key]) > ttl {
			return i
		}
	}
	return len(g.partKeys)
}

// weights returns the version of the model's weights, or an empty string if the
// endpoint doesn't list the model.
func (s *endpointState) weights(model string) string {
	for i := range s.Models {
		if s.Models[i].Name == model {
			return s.Models[i].Weights
		}
	}
	return ""
}

// meets reports whether the endpoint has a build on which the request may run, and weights
// that are known and not too old for it.
func (s *endpointState) meets(sel *boragewick.Selection) bool {
	if sel.Builds != nil && (s.isOtherRun() || !slices.Contains(sel.Builds, s.Build) && (s.Build != 0 || sel.OnlyBuilds)) {
		return false
	}
	if sel.RequiredWeights == 0 {
		return true
	}
	version, err := strconv.ParseUint(s.weights(sel.Model.Name), 10, 64)
	return err == nil && version >= sel.RequiredWeights
}

// leadingTokens returns the number of tokens in the first parts of a prompt.
func leadingTokens(sel *boragewick.Selection, parts int) int {
	n := 0
	for i := range parts {
		n += sel.Prefix[i].Tokens
	}
	return n
}

// mix combines two hashes into one with the finaliser of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (p *Placement) now() time.Time {
	if p.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return p.Clock.Now()
}
