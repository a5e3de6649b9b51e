package placement

import (
	"context"
	"testing"

	"github.com/boragewick/boragewick"
)

// TestCachedPartsOfOtherSoftware guards against fetching parts that other software has
// cached, and against a common scope of both.
func TestCachedPartsOfOtherSoftware(t *testing.T) {
	tests := map[string]struct {
		holder, other boragewick.Build
		fetched       bool
	}{
		"the same software": {1, 1, true},
		"other software":    {1, 2, false},
		"unknown software":  {1, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(0)
			holder, other := engine(0, "1"), engine(1, "1")
			holder.Build, other.Build = test.holder, test.other
			p.Update(boragewick.EndpointChange{Endpoint: holder}, boragewick.EndpointChange{Endpoint: other})
			s := selection("sheet", "session", "own")
			s.Builds, s.OnlyBuilds = []boragewick.Build{test.holder}, true
			s.Avoid = func(name string) bool { return name == other.Name }
			list, err := p.Select(context.Background(), s)
			if err != nil || list[0].Endpoint.Name != holder.Name {
				t.Fatalf("%v, %v", list, err)
			}
			flight := p.Begin(&list[0], &s)
			flight.Started()
			flight.End()
			scope := list[0].Scope
			s.Builds, s.Avoid = []boragewick.Build{test.other}, nil
			list, err = p.Select(context.Background(), s)
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range list {
				if c.Endpoint.Build != test.other {
					t.Errorf("%s with build %s is a candidate", c.Endpoint.Name, c.Endpoint.Build)
				}
				if c.Endpoint.Name == other.Name && (c.Source.IsValid() != test.fetched || (c.Scope == scope) != test.fetched) {
					t.Errorf("parts fetched from %v, scopes %q and %q", c.Source, c.Scope, scope)
				}
			}
		})
	}
}

// TestSoftwareOfAnotherRun guards against a stream that begins, or goes on, at an engine that has
// started again under its name with other software, before its heartbeat tells so (review/4).
func TestSoftwareOfAnotherRun(t *testing.T) {
	reports := func(started int64) func(p *Placement) {
		return func(p *Placement) {
			p.ObserveEngine("e00", &boragewick.EngineUpdate{Weights: map[string]uint64{"m": 1}, Started: started})
		}
	}
	registers := func(run boragewick.Incarnation, build boragewick.Build) func(p *Placement) {
		return func(p *Placement) {
			e := engine(0, "1")
			e.Incarnation, e.Build = run, build
			p.Update(boragewick.EndpointChange{Endpoint: e})
		}
	}
	lost := func(p *Placement) { p.ObserveEngine("e00", nil) }
	loadOnly := func(p *Placement) { p.ObserveEngine("e00", &boragewick.EngineUpdate{Active: 1}) }
	tests := map[string]struct {
		steps []func(p *Placement)
		// goesOn reports whether a stream of build 1 may go on there, and begins whether one of
		// either build may begin.
		goesOn, begins bool
	}{
		"no report":                          {nil, true, true},
		"same run":                           {[]func(*Placement){reports(1)}, true, true},
		"engine does not tell its run":       {[]func(*Placement){reports(0)}, true, true},
		"other run":                          {[]func(*Placement){reports(1), reports(2)}, false, false},
		"other run, later report of load":    {[]func(*Placement){reports(2), loadOnly}, false, false},
		"other run, agent lost":              {[]func(*Placement){reports(2), lost}, false, false},
		"other run, registered":              {[]func(*Placement){reports(2), registers("2", 2)}, false, true},
		"other run with the same software":   {[]func(*Placement){reports(2), registers("2", 1)}, true, true},
		"registered before its agent tells":  {[]func(*Placement){reports(1), registers("2", 2), reports(2)}, false, true},
		"registered, and again another run":  {[]func(*Placement){reports(2), registers("2", 1), reports(3)}, false, false},
		"late registration of the first run": {[]func(*Placement){reports(2), registers("1", 1)}, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(0)
			registers("1", 1)(p)
			for _, step := range test.steps {
				step(p)
			}
			selects := func(only bool, builds ...boragewick.Build) bool {
				s := selection("sheet", "session", "own")
				s.Builds, s.OnlyBuilds = builds, only
				_, err := p.Select(context.Background(), s)
				return err == nil
			}
			if got := selects(true, 1); got != test.goesOn {
				t.Errorf("a stream goes on: %t", got)
			}
			if got := selects(false, 1, 2); got != test.begins {
				t.Errorf("a stream begins: %t", got)
			}
			if !selects(false) {
				t.Error("requests that don't depend on the software are refused")
			}
		})
	}
}
