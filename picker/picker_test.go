package picker

import (
	"context"
	"fmt"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

var testModel = boragewick.Model{Name: "hull", Weights: "1"}

// fakeProber is a Prober whose agents reply at once, from their fields.
type fakeProber map[string]*fakeAgent

type fakeAgent struct {
	behavior

	probes atomic.Int64
}

type behavior struct {
	matched          int
	queued           uint64
	refuse           bool
	silent           bool
	otherIncarnation bool
	unmeasured       bool
}

func (f fakeProber) Probe(ctx context.Context, e *boragewick.Endpoint, q *boragewick.Probe) (boragewick.ProbeReply, error) {
	a := f[e.Name]
	a.probes.Add(1)
	if a.silent {
		<-ctx.Done()
		time.Sleep(time.Hour) // a prober that ignores its context
		return boragewick.ProbeReply{}, ctx.Err()
	}
	now := time.Unix(500, 0)
	missing := q.PromptTokens - uint64(a.matched*boragewick.BlockTokens)
	r := boragewick.ProbeReply{
		Endpoint: e.Name, Incarnation: e.Incarnation, Matched: a.matched, Queued: a.queued, Refuse: a.refuse,
		Now: now, FirstToken: now.Add(time.Duration(a.queued+missing) * 100 * time.Microsecond),
	}
	if a.unmeasured {
		r.FirstToken = now
	}
	if a.otherIncarnation {
		r.Incarnation = "another"
	}
	return r, nil
}

func endpoint(i int) boragewick.Endpoint {
	return boragewick.Endpoint{
		Name: fmt.Sprintf("runner-%d", i), Pool: "models", Kind: boragewick.EndpointModel,
		FailureDomain: fmt.Sprintf("domain-%d", i%4), Models: []boragewick.Model{testModel}, Incarnation: "inc",
	}
}

func newPicker(n int) (fakeProber, *Picker) {
	f := fakeProber{}
	p := &Picker{
		Prober:  f,
		Clock:   boragewick.ClockFunc(func() time.Time { return time.Unix(100, 0) }),
		Timeout: time.Minute, // a slow test machine must not change what is chosen
		Seed:    7,
	}
	for i := range n {
		e := endpoint(i)
		f[e.Name] = &fakeAgent{}
		p.Update(boragewick.EndpointChange{Endpoint: e})
	}
	return f, p
}

func selection(start, n int) boragewick.Selection {
	s := boragewick.Selection{
		Pool: "models", Kind: boragewick.EndpointModel, Model: testModel,
		PromptTokens: uint64(n * boragewick.BlockTokens),
	}
	for i := range n {
		s.Blocks = append(s.Blocks, boragewick.BlockHash(mix(uint64(start+i+1))))
	}
	return s
}

func mustSelect(t *testing.T, p *Picker, s boragewick.Selection) []boragewick.Candidate {
	t.Helper()
	got, err := p.Select(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// TestFirstChoice gives all agents but two the same behavior.
func TestFirstChoice(t *testing.T) {
	tests := map[string]struct {
		all  behavior
		good behavior
		bad  behavior
	}{
		"longest match":                   {behavior{}, behavior{matched: 30}, behavior{matched: 10}},
		"shortest queue":                  {behavior{queued: 9000}, behavior{}, behavior{queued: 1000}},
		"match outweighs queue":           {behavior{}, behavior{matched: 60, queued: 500}, behavior{matched: 10}},
		"queue outweighs match":           {behavior{queued: 9000}, behavior{matched: 10}, behavior{matched: 60, queued: 8000}},
		"refusal comes last":              {behavior{queued: 9000}, behavior{}, behavior{matched: 64, refuse: true}},
		"no answer comes last":            {behavior{queued: 9000}, behavior{}, behavior{matched: 64, silent: true}},
		"unmeasured agent is not free":    {behavior{queued: 9000}, behavior{matched: 30}, behavior{unmeasured: true}},
		"unmeasured agent with a match":   {behavior{queued: 9000}, behavior{matched: 40, unmeasured: true}, behavior{matched: 10}},
		"reply of another run is ignored": {behavior{queued: 9000}, behavior{}, behavior{matched: 64, otherIncarnation: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p := newPicker(4)
				for _, a := range f {
					a.behavior = tt.all
				}
				f["runner-1"].behavior = tt.good
				f["runner-2"].behavior = tt.bad
				got := mustSelect(t, p, selection(0, 64))
				if got[0].Endpoint.Name != "runner-1" {
					t.Errorf("chose %s, want runner-1", got[0].Endpoint.Name)
				}
				if len(got) != 4 {
					t.Errorf("%d candidates, want all 4", len(got))
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

func TestSilentAgentsDoNotDelaySelect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p := newPicker(20)
		p.Timeout = 0
		for _, a := range f {
			a.silent = true
		}
		start := time.Now()
		got := mustSelect(t, p, selection(0, 64))
		if took := time.Since(start); took > 2*ProbeTimeout {
			t.Errorf("took %s", took)
		}
		if got[0].Probed {
			t.Error("an endpoint that did not answer counts as probed")
		}
		time.Sleep(2 * time.Hour)
	})
}

func TestNoEndpoint(t *testing.T) {
	tests := map[string]func(*Picker, *boragewick.Selection){
		"pool":    func(_ *Picker, s *boragewick.Selection) { s.Pool = "others" },
		"kind":    func(_ *Picker, s *boragewick.Selection) { s.Kind = boragewick.EndpointPlain },
		"weights": func(_ *Picker, s *boragewick.Selection) { s.Model.Weights = "2" },
		"adapter": func(_ *Picker, s *boragewick.Selection) { s.Model.Adapter = "x" },
		"avoided": func(_ *Picker, s *boragewick.Selection) { s.Avoid = func(string) bool { return true } },
		"removed": func(p *Picker, _ *boragewick.Selection) {
			p.Update(boragewick.EndpointChange{Endpoint: endpoint(0), Removed: true})
		},
		"leaving": func(p *Picker, _ *boragewick.Selection) {
			e := endpoint(0)
			e.Leaving = true
			p.Update(boragewick.EndpointChange{Endpoint: e})
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			_, p := newPicker(1)
			s := selection(0, 4)
			change(p, &s)
			_, err := p.Select(t.Context(), s)
			if !errors.Is(err, boragewick.ErrNoEndpoint) || boragewick.OutcomeOf(err) != boragewick.OutcomeNotRun {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestAvoidKeepsOtherEndpoints(t *testing.T) {
	_, p := newPicker(20)
	s := selection(0, 64)
	s.Avoid = func(name string) bool { return name != "runner-13" }
	if got := mustSelect(t, p, s); got[0].Endpoint.Name != "runner-13" {
		t.Errorf("chose %s", got[0].Endpoint.Name)
	}
}

func TestCandidatesCoverFailureDomains(t *testing.T) {
	_, p := newPicker(40)
	for i := range 200 {
		domains := map[string]bool{}
		for _, c := range mustSelect(t, p, selection(i*1000, 64)) {
			domains[c.Endpoint.FailureDomain] = true
		}
		if len(domains) < 2 {
			t.Errorf("prompt %d: all candidates in one failure domain", i)
		}
	}
}

func TestRoutersShareCandidates(t *testing.T) {
	f, one := newPicker(40)
	two := &Picker{Prober: f, Seed: 8}
	for i := 39; i >= 0; i-- {
		two.Update(boragewick.EndpointChange{Endpoint: endpoint(i)})
	}
	for i := range 100 {
		s := selection(i*1000, 64)
		seen := map[string]bool{}
		for _, c := range mustSelect(t, one, s) {
			seen[c.Endpoint.Name] = true
		}
		shared := 0
		for _, c := range mustSelect(t, two, s) {
			if seen[c.Endpoint.Name] {
				shared++
			}
		}
		if shared == 0 {
			t.Errorf("prompt %d: two routers have no candidate in common", i)
		}
	}
}

func TestPreviousEndpointIsProbedAgain(t *testing.T) {
	f, p := newPicker(40)
	for i := range 50 {
		first := mustSelect(t, p, selection(i*1000, 64))[0].Endpoint.Name
		before := f[first].probes.Load()
		longer := selection(i*1000, 90)
		mustSelect(t, p, longer)
		if f[first].probes.Load() != before+1 {
			t.Errorf("prompt %d: the endpoint that served its prefix was not probed", i)
		}
	}
}

func TestProbesMoreEndpointsWhileBusy(t *testing.T) {
	f, p := newPicker(20)
	s := selection(0, 64)
	calm := len(mustSelect(t, p, s))
	for _, a := range f {
		a.queued = 50_000
	}
	busy := len(mustSelect(t, p, s))
	for _, a := range f {
		a.queued = 0
	}
	again := len(mustSelect(t, p, s))
	if calm != FirstProbes || busy <= calm || again != calm {
		t.Errorf("probed %d, when busy %d, afterwards %d", calm, busy, again)
	}
}

func TestSeedMakesChoicesRepeatable(t *testing.T) {
	run := func() string {
		_, p := newPicker(40)
		out := ""
		for i := range 50 {
			out += mustSelect(t, p, selection(i%7*1000, 64))[0].Endpoint.Name + " "
		}
		return out
	}
	if a, b := run(), run(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

func TestPlainRequestsSpread(t *testing.T) {
	f, p := newPicker(0)
	for i := range 4 {
		e := endpoint(i)
		e.Kind, e.Models = boragewick.EndpointPlain, nil
		f[e.Name] = &fakeAgent{}
		p.Update(boragewick.EndpointChange{Endpoint: e})
	}
	chosen := map[string]int{}
	for range 100 {
		got := mustSelect(t, p, boragewick.Selection{Pool: "models", Kind: boragewick.EndpointPlain})
		chosen[got[0].Endpoint.Name]++
	}
	for name := range f {
		if chosen[name] < 10 {
			t.Errorf("%s was chosen %d times of 100", name, chosen[name])
		}
	}
}

func TestProbeCarriesTheRequest(t *testing.T) {
	_, p := newPicker(1)
	var got boragewick.Probe
	p.Prober = boragewick.ProberFunc(func(_ context.Context, _ *boragewick.Endpoint, q *boragewick.Probe) (boragewick.ProbeReply, error) {
		got = *q
		return boragewick.ProbeReply{}, boragewick.ErrLinkLost
	})
	s := selection(0, 4)
	s.Workspace = "w"
	s.Deadline = time.Unix(2000, 0)
	mustSelect(t, p, s)
	want := boragewick.Probe{Workspace: "w", Model: testModel, Blocks: s.Blocks, PromptTokens: s.PromptTokens, Deadline: s.Deadline}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
