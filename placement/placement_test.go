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

// clock is moved by the test.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// fleet is n engines of one pool, all with the first weights.
func fleet(n int) (*Placement, *clock) {
	c := &clock{time.Unix(1000, 0)}
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

// prompt is a request with a long first part, a part of its session and one of
// its own.
func prompt(sheet, session, own string) boragewick.Selection {
	return boragewick.Selection{
		Pool:         "p",
		Kind:         boragewick.EndpointModel,
		Model:        boragewick.Model{Name: "m", Weights: "1"},
		PromptTokens: 9200,
		CacheScope:   "s",
		Prefix:       []boragewick.PromptPart{{ID: sheet, Tokens: 2600}, {ID: session, Tokens: 3700}, {ID: own, Tokens: 2900}},
	}
}

// choose returns the best candidate.
func choose(t *testing.T, p *Placement, s boragewick.Selection) boragewick.Candidate {
	t.Helper()
	list, err := p.Select(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	return list[0]
}

// tell has the agent of an engine tell its cache and load.
func tell(p *Placement, name string, queued int, s boragewick.Selection, weights string, parts int) {
	u := &boragewick.EngineUpdate{Queued: queued}
	for _, part := range s.Prefix[:parts] {
		u.Parts = append(u.Parts, boragewick.CachedPart{
			Key: boragewick.CachedPartKey(s.CacheScope+"."+weights, part.ID), Tokens: part.Tokens / 16 * 16,
		})
	}
	p.Observe(name, u)
}

func TestSamePromptSameEngineAtAllRouters(t *testing.T) {
	for i := range 20 {
		s := prompt("sheet", fmt.Sprint("session", i), "own")
		a, _ := fleet(9)
		b, _ := fleet(9)
		if x, y := choose(t, a, s).Endpoint.Name, choose(t, b, s).Endpoint.Name; x != y {
			t.Errorf("session %d: routers that know nothing chose %s and %s", i, x, y)
		}
	}
}

func TestAgentKnowsBest(t *testing.T) {
	p, _ := fleet(6)
	s := prompt("sheet", "session", "own")
	for i := range 6 {
		tell(p, fmt.Sprintf("e%02d", i), 0, s, "1", 0)
	}
	tell(p, "e04", 0, s, "1", 2)
	c := choose(t, p, s)
	if c.Endpoint.Name != "e04" || c.Matched != 6300 {
		t.Errorf("chose %s with %d tokens cached", c.Endpoint.Name, c.Matched)
	}
	if c.Source.IsValid() {
		t.Errorf("fetches from %s what it has", c.Source)
	}
}

// TestQueueBesideCache is the pattern of a hot session: its engine has a queue,
// so another one fetches the parts instead of reading them.
func TestQueueBesideCache(t *testing.T) {
	p, _ := fleet(6)
	s := prompt("sheet", "session", "own")
	for i := range 6 {
		tell(p, fmt.Sprintf("e%02d", i), 0, s, "1", 0)
	}
	tell(p, "e04", 20, s, "1", 2)
	c := choose(t, p, s)
	if c.Endpoint.Name == "e04" {
		t.Error("joined a queue of 20")
	}
	if c.Source.Addr() != netip.AddrFrom4([4]byte{10, 0, 0, 4}) {
		t.Errorf("fetches from %s", c.Source)
	}
}

// TestBurstSpreads is the pattern of many requests between two updates of the
// agents: each that is sent counts at once.
func TestBurstSpreads(t *testing.T) {
	p, _ := fleet(8)
	for i := range 8 {
		tell(p, fmt.Sprintf("e%02d", i), 0, prompt("x", "y", "z"), "1", 0)
	}
	counts := map[string]int{}
	for i := range 80 {
		s := prompt(fmt.Sprint("sheet", i), fmt.Sprint("session", i), "own")
		c := choose(t, p, s)
		p.Begin(&c, &s)
		counts[c.Endpoint.Name]++
	}
	for name, n := range counts {
		if n > 20 {
			t.Errorf("%s got %d of 80 requests with 8 engines", name, n)
		}
	}
}

// TestNewWeightsDoNotDrawAll is the pattern of the first seconds of an upgrade:
// one engine has the new weights, and the others still serve.
func TestNewWeightsDoNotDrawAll(t *testing.T) {
	p, _ := fleet(8)
	p.Update(boragewick.EndpointChange{Endpoint: engine(0, "2")})
	for i := range 8 {
		p.Observe(fmt.Sprintf("e%02d", i), &boragewick.EngineUpdate{})
	}
	upgraded := 0
	for i := range 64 {
		s := prompt(fmt.Sprint("sheet", i), fmt.Sprint("session", i), "own")
		s.Model.Weights = "2"
		c := choose(t, p, s)
		p.Begin(&c, &s)
		if c.Endpoint.Name == "e00" {
			upgraded++
		}
	}
	if upgraded == 0 || upgraded > 16 {
		t.Errorf("the upgraded engine got %d of 64 requests", upgraded)
	}
}

func TestOldWeights(t *testing.T) {
	tests := map[string]struct {
		least uint64
		want  string
	}{
		"in time":              {1, ""},
		"too old":              {2, "e01"},
		"nobody is new enough": {3, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := fleet(4)
			p.Update(boragewick.EndpointChange{Endpoint: engine(1, "2")})
			p.Observe("e01", &boragewick.EngineUpdate{Queued: 30})
			s := prompt("sheet", "session", "own")
			s.LeastWeights = test.least
			list, err := p.Select(context.Background(), s)
			if err != nil {
				t.Fatal(err)
			}
			if test.want != "" && (len(list) != 1 || list[0].Endpoint.Name != test.want) {
				t.Errorf("%d candidates, first %s", len(list), list[0].Endpoint.Name)
			}
			if test.want == "" && len(list) != 4 {
				t.Errorf("%d of 4 candidates", len(list))
			}
		})
	}
}

func TestPartsOfOtherWeightsAreNeverFetched(t *testing.T) {
	p, _ := fleet(2)
	s := prompt("sheet", "session", "own")
	p.Update(boragewick.EndpointChange{Endpoint: engine(1, "2")})
	tell(p, "e00", 0, s, "1", 0)
	tell(p, "e01", 0, s, "2", 2)
	list, err := p.Select(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range list {
		if c.Endpoint.Name == "e00" && c.Source.IsValid() {
			t.Errorf("weights 1 fetch from %s with weights 2", c.Source)
		}
		if c.Scope != "s."+c.Weights {
			t.Errorf("scope %q with weights %s", c.Scope, c.Weights)
		}
	}
}

func TestUnknownWeightsShareNothing(t *testing.T) {
	p, _ := fleet(3)
	for i := range 3 {
		e := engine(i, "1")
		e.Models = nil
		p.Update(boragewick.EndpointChange{Endpoint: e})
	}
	s := prompt("sheet", "session", "own")
	c := choose(t, p, s)
	p.Begin(&c, &s).Started()
	list, err := p.Select(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range list {
		if c.Source.IsValid() {
			t.Errorf("%s fetches from %s", c.Endpoint.Name, c.Source)
		}
	}
}

func TestLeavingEndpoints(t *testing.T) {
	p, _ := fleet(2)
	s := prompt("sheet", "session", "own")
	c := choose(t, p, s)
	f := p.Begin(&c, &s)
	defer f.End()
	e := *c.Endpoint
	e.Leaving = true
	p.Update(boragewick.EndpointChange{Endpoint: e})
	select {
	case <-f.Left():
	default:
		t.Error("a request is not told that its endpoint leaves")
	}
	if next := choose(t, p, s); next.Endpoint.Name == c.Endpoint.Name {
		t.Error("chose an endpoint that leaves")
	}
	e.Leaving = false
	p.Update(boragewick.EndpointChange{Endpoint: e})
	select {
	case <-p.Begin(&c, &s).Left():
		t.Error("told to leave an endpoint that came back")
	default:
	}
	for i := range 2 {
		p.Update(boragewick.EndpointChange{Endpoint: engine(i, "1"), Removed: true})
	}
	if _, err := p.Select(context.Background(), s); !errors.Is(err, boragewick.ErrNoEndpoint) {
		t.Errorf("without endpoints: %v", err)
	}
}

func TestRestartForgetsTheCache(t *testing.T) {
	p, _ := fleet(2)
	s := prompt("sheet", "session", "own")
	tell(p, "e00", 0, s, "1", 2)
	tell(p, "e01", 0, s, "1", 0)
	p.Observe("e00", &boragewick.EngineUpdate{Reset: true})
	if c := choose(t, p, s); c.Source.IsValid() {
		t.Errorf("fetches from %s, which has restarted", c.Source)
	}
}

func TestPlainEndpointsShareTheLoad(t *testing.T) {
	p := &Placement{}
	for i := range 3 {
		p.Update(boragewick.EndpointChange{Endpoint: boragewick.Endpoint{Name: fmt.Sprint(i), Pool: "q", Kind: boragewick.EndpointPlain}})
	}
	s := boragewick.Selection{Pool: "q", Kind: boragewick.EndpointPlain}
	counts := map[string]int{}
	for range 12 {
		c := choose(t, p, s)
		p.Begin(&c, &s)
		counts[c.Endpoint.Name]++
	}
	for name, n := range counts {
		if n != 4 {
			t.Errorf("endpoint %s has %d of 12 requests", name, n)
		}
	}
}

func TestAccountsEndAtZero(t *testing.T) {
	p, _ := fleet(1)
	s := prompt("sheet", "session", "own")
	c := choose(t, p, s)
	f := p.Begin(&c, &s)
	f.Answered(&boragewick.EndpointQueue{Running: 3, Waiting: 2})
	f.Started()
	f.End()
	f.End()
	if e := p.endpoints["e00"]; e.inFlight != 0 || e.prefill != 0 {
		t.Errorf("%d requests and %d tokens under way", e.inFlight, e.prefill)
	}
}

// TestDarkEngine is the pattern of engines that lose power: the agent beside one
// tells it before any request has failed.
func TestDarkEngine(t *testing.T) {
	p, _ := fleet(3)
	s := prompt("sheet", "session", "own")
	for i := range 3 {
		tell(p, fmt.Sprintf("e%02d", i), 0, s, "1", 2)
	}
	c := choose(t, p, s)
	f := p.Begin(&c, &s)
	p.Observe(c.Endpoint.Name, &boragewick.EngineUpdate{Down: true})
	select {
	case <-f.Lost():
	default:
		t.Error("a request isn't told that its engine is down")
	}
	for range 20 {
		if next := choose(t, p, s); next.Endpoint.Name == c.Endpoint.Name {
			t.Fatal("chose an engine that is down")
		}
	}
	p.Observe(c.Endpoint.Name, &boragewick.EngineUpdate{})
	select {
	case <-p.Begin(&c, &s).Lost():
		t.Error("an engine that answers again counts as down")
	default:
	}
	for i := range 3 {
		p.Observe(fmt.Sprintf("e%02d", i), &boragewick.EngineUpdate{Down: true})
	}
	if _, err := p.Select(context.Background(), s); err != nil {
		t.Errorf("all down: %v", err)
	}
}
