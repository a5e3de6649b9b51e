package placement

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// TestWeightsOfUnknownAge guards against a pool that refuses all requests after all processes
// have restarted, as no engine has the weights that were named just before, and against requests
// on older ones while an engine has the newest, or while their age is known.
func TestWeightsOfUnknownAge(t *testing.T) {
	tests := map[string]struct {
		unknown bool
		certain uint64
		apply   func(p *Placement, s *boragewick.Selection)
		first   string // empty if there is no candidate
	}{
		"no engine has them":     {true, 0, func(*Placement, *boragewick.Selection) {}, "e00"},
		"the age is known":       {false, 0, func(*Placement, *boragewick.Selection) {}, ""},
		"an older one is needed": {true, 1, func(*Placement, *boragewick.Selection) {}, "e00"},
		"one engine has them": {true, 0, func(p *Placement, _ *boragewick.Selection) {
			p.Update(boragewick.EndpointChange{Endpoint: engine(1, "2")})
		}, "e01"},
		"that engine was tried": {true, 0, func(p *Placement, s *boragewick.Selection) {
			p.Update(boragewick.EndpointChange{Endpoint: engine(1, "2")})
			s.Avoid = func(name string) bool { return name == "e01" }
		}, ""},
		"that engine leaves": {true, 0, func(p *Placement, _ *boragewick.Selection) {
			e := engine(1, "2")
			e.Leaving = true
			p.Update(boragewick.EndpointChange{Endpoint: e})
		}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(2)
			s := selection("sheet", "session", "own")
			s.LeastWeights, s.RequiredWeights, s.AgeUnknown, s.CertainWeights = 2, 2, test.unknown, test.certain
			test.apply(p, &s)
			list, err := p.Select(context.Background(), s)
			if (err == nil) != (test.first != "") {
				t.Fatalf("%d candidates, error %v", len(list), err)
			}
			if err == nil && test.first == "e01" && (list[0].Endpoint.Name != "e01" || len(list) != 1) {
				t.Errorf("%d candidates, first %s", len(list), list[0].Endpoint.Name)
			}
		})
	}
}

// TestRequiredWeights guards against requests that start on weights that are too old
// because the engines with newer ones can't take them.
func TestRequiredWeights(t *testing.T) {
	change := func(edit func(*boragewick.Endpoint)) func(*Placement, *boragewick.Selection) {
		return func(p *Placement, _ *boragewick.Selection) {
			e := engine(1, "2")
			edit(&e)
			p.Update(boragewick.EndpointChange{Endpoint: e})
		}
	}
	none := func(*boragewick.Endpoint) {}
	tests := map[string]struct {
		apply func(p *Placement, s *boragewick.Selection)
		want  []string
	}{
		"one is new enough":      {change(none), []string{"e01"}},
		"none is new enough":     {func(*Placement, *boragewick.Selection) {}, nil},
		"it is leaving":          {change(func(e *boragewick.Endpoint) { e.Leaving = true }), nil},
		"it states no version":   {change(func(e *boragewick.Endpoint) { e.Models[0].Weights = "" }), nil},
		"it doesn't list models": {change(func(e *boragewick.Endpoint) { e.Models = nil }), nil},
		"it was tried already": {func(p *Placement, s *boragewick.Selection) {
			change(none)(p, s)
			s.Avoid = func(name string) bool { return name == "e01" }
		}, nil},
		"it is down, as the only one that qualifies": {func(p *Placement, s *boragewick.Selection) {
			change(none)(p, s)
			p.ObserveEngine("e01", &boragewick.EngineUpdate{Down: true})
		}, []string{"e01"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(4)
			s := selection("sheet", "session", "own")
			s.LeastWeights, s.RequiredWeights = 2, 2
			test.apply(p, &s)
			list, err := p.Select(context.Background(), s)
			if len(test.want) == 0 {
				if !errors.Is(err, boragewick.ErrNoEndpoint) || !errors.Is(err, boragewick.ErrNotRun) {
					t.Fatalf("%d candidates, %v", len(list), err)
				}
				return
			}
			if err != nil || len(list) != len(test.want) || list[0].Endpoint.Name != test.want[0] {
				t.Fatalf("%d candidates, %v", len(list), err)
			}
		})
	}
}
