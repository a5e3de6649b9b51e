// Package retry says whether, when and where a failed request is tried again.
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
	// routerBurst and workspaceBurst are the most retries saved up.
	routerBurst    = 100
	workspaceBurst = 20
	// routerPerSecond and workspacePerSecond are allowed without any requests.
	routerPerSecond    = 1.0
	workspacePerSecond = 0.2
	// minBackoffMilliseconds is the longest wait before a first retry; it
	// doubles with each one, up to maxDoublings times.
	minBackoffMilliseconds = 5
	maxDoublings           = 6
	// maxWorkspaces bounds the workspaces that are kept apart. Beyond it, full
	// ones are forgotten, which changes nothing for them.
	maxWorkspaces = 4096
)

// Budget bounds the retries of a router and of each workspace to a fraction of
// their requests. The zero value works. It is safe for concurrent use.
type Budget struct {
	// Clock defaults to the clock of the instance.
	Clock boragewick.Clock
	// Seed makes the backoff repeatable; zero takes a random seed.
	Seed uint64
	// Fraction is the share of the requests, of the router and of each
	// workspace, that may be retries; zero takes the defaults.
	Fraction float64
	// Burst is the most retries that each workspace saves up; zero takes the
	// default.
	Burst float64

	mu         sync.Mutex
	rand       *rand.Rand
	router     bucket
	workspaces map[boragewick.ID]*bucket
}

// Request adds the share of one new request to the budgets.
func (b *Budget) Request(workspace boragewick.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.init()
	b.router.add(cmp.Or(b.Fraction, routerFraction))
	b.workspace(workspace, now).add(cmp.Or(b.Fraction, workspaceFraction))
}

// Retry takes one retry from the budgets and returns the instant at which to
// start it. The attempt counts the request's retries from 1. It reports false
// when the router or the workspace has none left.
func (b *Budget) Retry(workspace boragewick.ID, attempt int) (time.Time, bool) {
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
	longest := minBackoffMilliseconds * time.Millisecond << min(max(attempt-1, 0), maxDoublings)
	return now.Add(time.Duration(b.rand.Int64N(int64(longest)))), true
}

// Order returns the candidates without the failed endpoints, those in other
// failure domains first.
func Order(candidates []boragewick.Candidate, failed ...*boragewick.Endpoint) []boragewick.Candidate {
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
	b.router = bucket{tokens: routerBurst, burst: routerBurst, perSecond: routerPerSecond, filled: now}
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
		b.forgetFull(now)
	}
	burst := cmp.Or(b.Burst, workspaceBurst)
	w = &bucket{tokens: burst, burst: burst, perSecond: workspacePerSecond, filled: now}
	b.workspaces[id] = w
	return w
}

func (b *Budget) forgetFull(now time.Time) {
	for id, w := range b.workspaces {
		w.refill(now)
		if w.tokens >= w.burst {
			delete(b.workspaces, id)
		}
	}
}

// bucket holds the retries that are left.
type bucket struct {
	tokens    float64
	burst     float64
	perSecond float64
	filled    time.Time
}

func (k *bucket) add(tokens float64) {
	k.tokens = min(k.tokens+tokens, k.burst)
}

func (k *bucket) refill(now time.Time) {
	k.add(max(now.Sub(k.filled).Seconds(), 0) * k.perSecond)
	k.filled = now
}
