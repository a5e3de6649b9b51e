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
