// Package retry decides whether, when and where a failed request is retried.
package retry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// routerFraction is the share of a router's requests that may be retries.
	routerFraction = 0.1
	// workspaceFraction is the same for the requests of one workspace.
	workspaceFraction = 0.2
	// routerBurst and workspaceBurst are the largest numbers of retries that can
	// accumulate.
	routerBurst    = 100
	workspaceBurst = 20
	// routerRefillPerSecond and workspaceRefillPerSecond are the retries allowed
	// per second without any requests.
	routerRefillPerSecond    = 1.0
	workspaceRefillPerSecond = 0.2
	// baseBackoffMilliseconds is the longest random delay before the first retry.
	// The longest delay doubles with each further one, up to maxDoublings times.
	baseBackoffMilliseconds = 5
	maxDoublings            = 6
	// maxWorkspaces is the number of workspace buckets at which full ones are
	// dropped. That loses nothing, as new buckets start full.
	maxWorkspaces = 4096
)

// Budget bounds the retries of a router and of each workspace to a fraction of
// their requests. The zero value is ready to use. It is safe for concurrent use.
type Budget struct {
	// Clock defaults to boragewick.SystemClock.
	Clock boragewick.Clock
	// Seed makes the backoff deterministic; zero means a random seed.
	Seed uint64
	// Fraction is the share of the requests, of the router and of each
	// workspace, that may be retries; zero means the defaults.
	Fraction float64
	// Burst is the largest number of retries that each workspace can accumulate;
	// zero means the default.
	Burst float64
	// RefillPerSecond is the number of retries that each workspace gains per second
	// without any requests; zero means the default.
	RefillPerSecond float64
	// initial is the number of retries that a workspace starts with; zero means
	// Burst.
	initial float64

	mu         sync.Mutex
	rand       *rand.Rand
	router     bucket
	workspaces map[boragewick.ID]*bucket
}

// AddRequest credits the budgets of the router and the workspace for one new
// request.
func (b *Budget) AddRequest(workspace boragewick.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.init()
	b.router.add(cmp.Or(b.Fraction, routerFraction))
	b.workspace(workspace, now).add(cmp.Or(b.Fraction, workspaceFraction))
}

// TakeRetry takes one retry from the budgets and returns the instant at which
// to start it. The attempt is the number of the retry, from 1. It reports false
// when the router or the workspace has none left.
func (b *Budget) TakeRetry(workspace boragewick.ID, attempt int) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.init()
	w := b.workspace(workspace, now)
	b.router.refill(now)
	if b.router.tokens < 1 || w.tokens < 1 {
		return time.Time{}, false
	}
	b.router.tokens--
	w.tokens--
	maxDelay := baseBackoffMilliseconds * time.Millisecond << min(max(attempt-1, 0), maxDoublings)
	return now.Add(time.Duration(b.rand.Int64N(int64(maxDelay)))), true
}

// PreferOtherDomains returns the candidates without the failed endpoints.
// Candidates in failure domains without a failed endpoint come first.
func PreferOtherDomains(candidates []boragewick.Candidate, failed ...*boragewick.Endpoint) []boragewick.Candidate {
	out := make([]boragewick.Candidate, 0, len(candidates))
	var sameDomain []boragewick.Candidate
	for _, c := range candidates {
		switch {
		case slices.ContainsFunc(failed, func(e *boragewick.Endpoint) bool { return e.Name == c.Endpoint.Name }):
		case slices.ContainsFunc(failed, func(e *boragewick.Endpoint) bool { return e.FailureDomain == c.Endpoint.FailureDomain }):
			sameDomain = append(sameDomain, c)
		default:
			out = append(out, c)
		}
	}
	return append(out, sameDomain...)
}

// SetBurst changes Burst and RefillPerSecond. A workspace can save up one retry even
// if burst is less.
func (b *Budget) SetBurst(burst, refillPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.init()
	b.Burst, b.RefillPerSecond, b.initial = max(1, burst), refillPerSecond, burst
	for _, w := range b.workspaces {
		w.refill(now)
		w.burst, w.perSecond = b.Burst, refillPerSecond
		w.tokens = min(w.tokens, burst)
	}
}

func (b *Budget) init() time.Time {
	now := boragewick.SystemClock.Now()
	if b.Clock != nil {
		now = b.Clock.Now()
	}
	if b.rand != nil {
		return now
	}
	seed := b.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	b.rand = rand.New(rand.NewPCG(seed, seed))
	b.router = bucket{tokens: routerBurst, burst: routerBurst, perSecond: routerRefillPerSecond, refilledAt: now}
	b.workspaces = map[boragewick.ID]*bucket{}
	return now
}

func (b *Budget) workspace(id boragewick.ID, now time.Time) *bucket {
	w := b.workspaces[id]
	if w != nil {
		w.refill(now)
		return w
	}
	if len(b.workspaces) >= maxWorkspaces {
		b.dropFull(now)
	}
	burst := cmp.Or(b.Burst, workspaceBurst)
	w = &bucket{tokens: cmp.Or(b.initial, burst), burst: burst, perSecond: cmp.Or(b.RefillPerSecond, workspaceRefillPerSecond), refilledAt: now}
	b.workspaces[id] = w
	return w
}

func (b *Budget) dropFull(now time.Time) {
	for id, w := range b.workspaces {
		w.refill(now)
		if w.tokens >= w.burst {
			delete(b.workspaces, id)
		}
	}
}

// bucket is a token bucket of retries.
type bucket struct {
	tokens     float64
	burst      float64
	perSecond  float64
	refilledAt time.Time
}

func (k *bucket) add(tokens float64) {
	k.tokens = min(k.tokens+tokens, k.burst)
}

func (k *bucket) refill(now time.Time) {
	k.add(max(now.Sub(k.refilledAt).Seconds(), 0) * k.perSecond)
	k.refilledAt = now
}
