// Package picker is a router's policy for selecting an endpoint: it finds a few
// that are likely to have a prompt's prefix cached, probes their agents and ranks
// them by the expected time to the first token.
package picker

import (
	"context"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// ProbeTimeout is how long a request waits for probe replies by default.
const ProbeTimeout = 5 * time.Millisecond

// Picker is a boragewick.Selector. The zero value has no endpoints, sends no probes
// and ranks endpoints by what it remembers of them. It is safe for concurrent use.
type Picker struct {
	// Prober probes agents; nil probes none.
	Prober boragewick.Prober
	// Clock defaults to the clock of the instance.
	Clock boragewick.Clock
	// Timeout bounds the wait for probe replies; zero means ProbeTimeout.
	Timeout time.Duration
	// Seed makes the random choices repeatable; zero means a random seed.
	Seed uint64

	mu      sync.Mutex
	rand    *rand.Rand
	members map[string]*member
	groups  map[groupKey]*group
	history prefixHistory
}

// Update applies changes of the set of endpoints.
func (p *Picker) Update(changes ...boragewick.EndpointChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	for _, c := range changes {
		old := p.members[c.Endpoint.Name]
		if old != nil && !c.Removed && reflect.DeepEqual(old.Endpoint, c.Endpoint) {
			continue
		}
		if old != nil {
			p.remove(old)
		}
		if !c.Removed && !c.Endpoint.Leaving {
			p.add(newMember(c.Endpoint))
		}
	}
}

// Select probes a few endpoints and returns them, the best one first. Those that
// did not answer in time come after those that accept the request, by what is
// remembered of them, and those that refuse it come last.
func (p *Picker) Select(ctx context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	found := p.initialCandidates(&s)
	if len(found) == 0 {
		err := errors.Wrapf(boragewick.ErrNoEndpoint, "pool %q, model %q", s.Pool, s.Model.Name)
		return nil, boragewick.NotRun(err)
	}
	p.probe(ctx, &s, found)
	if more := p.extraCandidates(&s, found); len(more) > 0 {
		p.probe(ctx, &s, more)
		found = append(found, more...)
	}
	return p.rank(&s, found), nil
}

func (p *Picker) init() {
	if p.members != nil {
		return
	}
	p.members = map[string]*member{}
	p.groups = map[groupKey]*group{}
	seed := p.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p.rand = rand.New(rand.NewPCG(seed, seed))
}

func (p *Picker) add(m *member) {
	p.members[m.Name] = m
	for _, key := range groupKeys(&m.Endpoint) {
		if p.groups[key] == nil {
			p.groups[key] = &group{}
		}
		p.groups[key].add(m)
	}
}

func (p *Picker) remove(m *member) {
	m.removed = true
	delete(p.members, m.Name)
	for _, key := range groupKeys(&m.Endpoint) {
		g := p.groups[key]
		g.remove(m)
		if len(g.members) == 0 {
			delete(p.groups, key)
		}
	}
}

// groupKeys returns the keys of the groups that an endpoint belongs to.
func groupKeys(e *boragewick.Endpoint) []groupKey {
	if e.Kind == boragewick.EndpointPlain {
		return []groupKey{{pool: e.Pool, kind: e.Kind}}
	}
	out := make([]groupKey, 0, len(e.Models))
	seen := map[boragewick.Model]bool{}
	for _, m := range e.Models {
		if !seen[m] {
			out = append(out, groupKey{pool: e.Pool, kind: e.Kind, model: m})
		}
		seen[m] = true
	}
	return out
}

func (p *Picker) now() time.Time {
	if p.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return p.Clock.Now()
}
