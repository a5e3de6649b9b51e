package placement

import (
	"testing"

	"github.com/boragewick/boragewick"
)

// TestBeginAfterDeparture guards against a run that stays at an engine until that exits: the engine
// left between the choice and the time at which the request was sent, as requests wait for a share
// of a limit in between. A request that is sent to an engine that has started anew runs there.
func TestBeginAfterDeparture(t *testing.T) {
	endpoint := func(incarnation boragewick.Incarnation, leaving bool) boragewick.Endpoint {
		return boragewick.Endpoint{Name: "e", Pool: "p", Kind: boragewick.EndpointModel, Incarnation: incarnation, Leaving: leaving, Models: []boragewick.Model{{Weights: "1"}}}
	}
	tests := map[string]struct {
		change boragewick.EndpointChange
		left   bool
	}{
		"unchanged":    {boragewick.EndpointChange{Endpoint: endpoint("1", false)}, false},
		"leaves":       {boragewick.EndpointChange{Endpoint: endpoint("1", true)}, true},
		"removed":      {boragewick.EndpointChange{Endpoint: endpoint("1", false), Removed: true}, true},
		"started anew": {boragewick.EndpointChange{Endpoint: endpoint("2", false)}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Placement{}
			p.Update(boragewick.EndpointChange{Endpoint: endpoint("1", false)})
			s := boragewick.Selection{Pool: "p", Kind: boragewick.EndpointModel}
			candidates, err := p.Select(t.Context(), s)
			if err != nil {
				t.Fatal(err)
			}
			p.Update(test.change)
			f := p.Begin(&candidates[0], &s)
			defer f.End()
			left := false
			select {
			case <-f.Left():
				left = true
			default:
			}
			if left != test.left {
				t.Errorf("the request is told that its engine leaves: %t", left)
			}
		})
	}
}
