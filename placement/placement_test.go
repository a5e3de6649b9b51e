package placement

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// fakeClock is a clock that tests advance.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// newPlacement returns a Placement with n engines in one pool, all with version 1
// of the weights.
func newPlacement(n int) (*Placement, *fakeClock) {
	c := &fakeClock{time.Unix(1000, 0)}
	p := &Placement{Clock: c}
	for i := range n {
		p.Update(boragewick.EndpointChange{Endpoint: engine(i, "1")})
	}
	return p, c
}

func engine(i int, weights string) boragewick.Endpoint {
	return boragewick.Endpoint{
		Name:        fmt.Sprintf("e%02d", i),
		Pool:        "p",
		Kind:        boragewick.EndpointModel,
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		Incarnation: "1",
		Models:      []boragewick.Model{{Name: "m", Weights: weights}},
	}
}

// selection returns a request whose prompt has a long first part, a part of its
// session and a part of its own.
func selection(first, session, own string) boragewick.Selection {
	return boragewick.Selection{
		Pool:         "p",
		Kind:         boragewick.EndpointModel,
		Model:        boragewick.Model{Name: "m", Weights: "1"},
		PromptTokens: 9200,
		CacheScope:   "s",
		Prefix:       []boragewick.PromptPart{{ID: first, Tokens: 2600}, {ID: session, Tokens: 3700}, {ID: own, Tokens: 2900}},
	}
}

func bestCandidate(t *testing.T, p *Placement, s boragewick.Selection) boragewick.Candidate {
	t.Helper()
	list, err := p.Select(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	return list[0]
}

// reportCache makes an engine's agent report its queue and the first parts of the
// prompt as cached.
func reportCache(p *Placement, name string, queued int, s boragewick.Selection, weights string, parts int) {
	u := &boragewick.EngineUpdate{Queued: queued}
	for _, part := range s.Prefix[:parts] {
		u.Parts = append(u.Parts, boragewick.CachedPart{
			Key: boragewick.CachedPartKey(s.CacheScope+"."+weights, part.ID), Tokens: part.Tokens / 16 * 16,
		})
	}
	p.ObserveEngine(name, u)
}

func TestRoutersChooseSameEngineForPrompt(t *testing.T) {
	for i := range 20 {
		s := selection("sheet", fmt.Sprint("session", i), "own")
		a, _ := newPlacement(9)
		b, _ := newPlacement(9)
		if x, y := bestCandidate(t, a, s).Endpoint.Name, bestCandidate(t, b, s).Endpoint.Name; x != y {
			t.Errorf("session %d: routers without any reports chose %s and %s", i, x, y)
		}
	}
}

func TestPrefersEngineWithCachedParts(t *testing.T) {
	p, _ := newPlacement(6)
	s := selection("sheet", "session", "own")
	for i := range 6 {
		reportCache(p, fmt.Sprintf("e%02d", i), 0, s, "1", 0)
	}
	reportCache(p, "e04", 0, s, "1", 2)
	c := bestCandidate(t, p, s)
	if c.Endpoint.Name != "e04" || c.Matched != 6300 {
		t.Errorf("chose %s with %d tokens cached", c.Endpoint.Name, c.Matched)
	}
	if c.Source.IsValid() {
		t.Errorf("fetches parts from %s that it has cached", c.Source)
	}
}

// TestAvoidsQueueAtCachingEngine covers a hot session: the engine that has it
// cached has a queue, so another engine is chosen, which fetches the parts instead
// of prefilling them.
func TestAvoidsQueueAtCachingEngine(t *testing.T) {
	p, _ := newPlacement(6)
	s := selection("sheet", "session", "own")
	for i := range 6 {
		reportCache(p, fmt.Sprintf("e%02d", i), 0, s, "1", 0)
	}
	reportCache(p, "e04", 20, s, "1", 2)
	c := bestCandidate(t, p, s)
	if c.Endpoint.Name == "e04" {
		t.Error("chose the engine with 20 queued requests")
	}
	if c.Source.Addr() != netip.AddrFrom4([4]byte{10, 0, 0, 4}) {
		t.Errorf("fetches from %s", c.Source)
	}
}

// TestBurstSpreadsAcrossEngines covers many requests between two agent reports:
// each request counts as soon as it is sent.
func TestBurstSpreadsAcrossEngines(t *testing.T) {
	p, _ := newPlacement(8)
	for i := range 8 {
		reportCache(p, fmt.Sprintf("e%02d", i), 0, selection("x", "y", "z"), "1", 0)
	}
	counts := map[string]int{}
	for i := range 80 {
		s := selection(fmt.Sprint("sheet", i), fmt.Sprint("session", i), "own")
		c := bestCandidate(t, p, s)
		p.Begin(&c, &s)
		counts[c.Endpoint.Name]++
	}
	for name, n := range counts {
		if n > 20 {
			t.Errorf("%s got %d of 80 requests with 8 engines", name, n)
		}
	}
}

// TestUpgradedEngineDoesNotGetAllRequests covers the first seconds of an upgrade:
// one engine has the new weights, and the others still serve.
func TestUpgradedEngineDoesNotGetAllRequests(t *testing.T) {
	p, _ := newPlacement(8)
	p.Update(boragewick.EndpointChange{Endpoint: engine(0, "2")})
	for i := range 8 {
		p.ObserveEngine(fmt.Sprintf("e%02d", i), &boragewick.EngineUpdate{})
	}
	upgraded := 0
	for i := range 64 {
		s := selection(fmt.Sprint("sheet", i), fmt.Sprint("session", i), "own")
		s.Model.Weights = "2"
		c := bestCandidate(t, p, s)
		p.Begin(&c, &s)
		if c.Endpoint.Name == "e00" {
			upgraded++
		}
	}
	if upgraded == 0 || upgraded > 16 {
		t.Errorf("the upgraded engine got %d of 64 requests", upgraded)
	}
}

// TestLeastWeights guards against requests that all wait at the few engines which have been
// upgraded, while the others are idle and their weights may still be used: half of the
// engines had queues of over 40 requests, the others none. Weights that may no longer be used
// are left to RequiredWeights.
func TestLeastWeights(t *testing.T) {
	tests := map[string]struct {
		least, required uint64
		queued          int
		upgraded        bool
		candidates      int
	}{
		"all new enough":                      {1, 0, 30, false, 4},
		"some too old, the other idle":        {2, 0, 0, true, 4},
		"some too old, the other a bit busy":  {2, 0, 5, true, 4},
		"some too old, the other overloaded":  {2, 0, 30, false, 4},
		"none new enough":                     {3, 0, 30, false, 4},
		"required, the other overloaded":      {2, 2, 30, true, 1},
		"no preference, the other a bit busy": {0, 0, 5, false, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(4)
			p.Update(boragewick.EndpointChange{Endpoint: engine(1, "2")})
			for i := range 4 {
				p.ObserveEngine(fmt.Sprintf("e%02d", i), &boragewick.EngineUpdate{})
			}
			p.ObserveEngine("e01", &boragewick.EngineUpdate{Queued: test.queued})
			s := selection("sheet", "session", "own")
			s.Model.Weights = "2"
			s.LeastWeights, s.RequiredWeights = test.least, test.required
			list, err := p.Select(context.Background(), s)
			if err != nil {
				t.Fatal(err)
			}
			if (list[0].Endpoint.Name == "e01") != test.upgraded || len(list) != test.candidates {
				t.Errorf("%d candidates, first %s", len(list), list[0].Endpoint.Name)
			}
		})
	}
}

func TestNoFetchAcrossWeights(t *testing.T) {
	p, _ := newPlacement(2)
	s := selection("sheet", "session", "own")
	p.Update(boragewick.EndpointChange{Endpoint: engine(1, "2")})
	reportCache(p, "e00", 0, s, "1", 0)
	reportCache(p, "e01", 0, s, "2", 2)
	list, err := p.Select(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range list {
		if c.Endpoint.Name == "e00" && c.Source.IsValid() {
			t.Errorf("an engine with weights 1 fetches from %s with weights 2", c.Source)
		}
		if c.Scope != "s."+c.Weights {
			t.Errorf("scope %q with weights %s", c.Scope, c.Weights)
		}
	}
}

// TestNoFetchFromEngineOutOfService guards against parts that are fetched under the older scope
// from an engine that is about to change its weights, or has done so: a run that goes on there may
// have been read in again with the newer ones.
func TestNoFetchFromEngineOutOfService(t *testing.T) {
	for name, leaving := range map[string]bool{"in service": false, "out of service": true} {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(2)
			s := selection("sheet", "session", "own")
			reportCache(p, "e00", 0, s, "1", 0)
			reportCache(p, "e01", 0, s, "1", 2)
			e := engine(1, "1")
			e.Leaving = leaving
			p.Update(boragewick.EndpointChange{Endpoint: e})
			list, err := p.Select(context.Background(), s)
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range list {
				if c.Endpoint.Name == "e00" && c.Source.IsValid() == leaving {
					t.Errorf("fetches from %s", c.Source)
				}
			}
		})
	}
}

// TestUnknownWeightsShareNothing guards against cached parts that are used on, fetched by or saved
// from engines whose weights aren't known, by requests that may have run on different versions.
func TestUnknownWeightsShareNothing(t *testing.T) {
	tests := map[string][]boragewick.Model{
		"no models":             nil,
		"model without version": {{Name: "m"}},
		"other model":           {{Name: "other", Weights: "1"}},
	}
	for name, models := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(3)
			for i := range 3 {
				e := engine(i, "1")
				e.Models = models
				p.Update(boragewick.EndpointChange{Endpoint: e})
			}
			s := selection("sheet", "session", "own")
			s.Stores = []netip.AddrPort{storeA}
			p.ObserveStore(storeA, &boragewick.EngineUpdate{Parts: []boragewick.CachedPart{{Key: boragewick.CachedPartKey("s", "sheet"), Tokens: 2600}}})
			c := bestCandidate(t, p, s)
			p.Begin(&c, &s).Started()
			list, err := p.Select(context.Background(), s)
			if err != nil {
				t.Fatal(err)
			}
			if len(list) != 3 {
				t.Errorf("%d candidates", len(list))
			}
			for _, again := range list {
				if again.Source.IsValid() || again.SaveTo.IsValid() {
					t.Errorf("%s fetches from %s and saves to %s", again.Endpoint.Name, again.Source, again.SaveTo)
				}
				if again.Matched != 0 {
					t.Errorf("%s counts as having %d tokens", again.Endpoint.Name, again.Matched)
				}
				if again.Scope == c.Scope || again.Scope == s.CacheScope {
					t.Errorf("%s uses scope %q, as another request", again.Endpoint.Name, again.Scope)
				}
			}
		})
	}
}

func TestLeavingEndpoints(t *testing.T) {
	p, _ := newPlacement(2)
	s := selection("sheet", "session", "own")
	c := bestCandidate(t, p, s)
	f := p.Begin(&c, &s)
	defer f.End()
	e := *c.Endpoint
	e.Leaving = true
	p.Update(boragewick.EndpointChange{Endpoint: e})
	select {
	case <-f.Left():
	default:
		t.Error("a request is not told that its endpoint is leaving")
	}
	if next := bestCandidate(t, p, s); next.Endpoint.Name == c.Endpoint.Name {
		t.Error("chose an endpoint that is leaving")
	}
	e.Leaving = false
	p.Update(boragewick.EndpointChange{Endpoint: e})
	select {
	case <-p.Begin(&c, &s).Left():
		t.Error("a new request is told that an endpoint is leaving that is back")
	default:
	}
	for i := range 2 {
		p.Update(boragewick.EndpointChange{Endpoint: engine(i, "1"), Removed: true})
	}
	if _, err := p.Select(context.Background(), s); !errors.Is(err, boragewick.ErrNoEndpoint) {
		t.Errorf("without endpoints: %v", err)
	}
}

func TestResetClearsCachedParts(t *testing.T) {
	p, _ := newPlacement(2)
	s := selection("sheet", "session", "own")
	reportCache(p, "e00", 0, s, "1", 2)
	reportCache(p, "e01", 0, s, "1", 0)
	p.ObserveEngine("e00", &boragewick.EngineUpdate{Reset: true})
	if c := bestCandidate(t, p, s); c.Source.IsValid() {
		t.Errorf("fetches from %s, which has restarted", c.Source)
	}
}

func TestPlainEndpointsShareLoadEvenly(t *testing.T) {
	p := &Placement{}
	for i := range 3 {
		p.Update(boragewick.EndpointChange{Endpoint: boragewick.Endpoint{Name: fmt.Sprint(i), Pool: "q", Kind: boragewick.EndpointPlain}})
	}
	s := boragewick.Selection{Pool: "q", Kind: boragewick.EndpointPlain}
	counts := map[string]int{}
	for range 12 {
		c := bestCandidate(t, p, s)
		p.Begin(&c, &s)
		counts[c.Endpoint.Name]++
	}
	for name, n := range counts {
		if n != 4 {
			t.Errorf("endpoint %s has %d of 12 requests", name, n)
		}
	}
}

func TestCountersReturnToZero(t *testing.T) {
	p, _ := newPlacement(1)
	s := selection("sheet", "session", "own")
	c := bestCandidate(t, p, s)
	f := p.Begin(&c, &s)
	f.Answered(&boragewick.Reply{Load: &boragewick.EndpointQueue{Running: 3, Waiting: 2}})
	f.Started()
	f.End()
	f.End()
	if e := p.endpoints["e00"]; e.inFlight != 0 || e.prefillTokens != 0 {
		t.Errorf("%d requests and %d tokens still counted as in flight", e.inFlight, e.prefillTokens)
	}
}

// TestDownEngine covers engines that lose power: an engine's agent reports it
// before any request has failed.
func TestDownEngine(t *testing.T) {
	p, _ := newPlacement(3)
	s := selection("sheet", "session", "own")
	for i := range 3 {
		reportCache(p, fmt.Sprintf("e%02d", i), 0, s, "1", 2)
	}
	c := bestCandidate(t, p, s)
	f := p.Begin(&c, &s)
	p.ObserveEngine(c.Endpoint.Name, &boragewick.EngineUpdate{Down: true})
	select {
	case <-f.Lost():
	default:
		t.Error("a request isn't told that its engine is down")
	}
	for range 20 {
		if next := bestCandidate(t, p, s); next.Endpoint.Name == c.Endpoint.Name {
			t.Fatal("chose an engine that is down")
		}
	}
	p.ObserveEngine(c.Endpoint.Name, &boragewick.EngineUpdate{})
	select {
	case <-p.Begin(&c, &s).Lost():
		t.Error("an engine that answers again counts as down")
	default:
	}
	for i := range 3 {
		p.ObserveEngine(fmt.Sprintf("e%02d", i), &boragewick.EngineUpdate{Down: true})
	}
	if _, err := p.Select(context.Background(), s); err != nil {
		t.Errorf("all down: %v", err)
	}
}
