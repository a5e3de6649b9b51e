package gateway

import (
	"fmt"
	"testing"

	"github.com/boragewick/boragewick"
)

// TestStreamGoesOnWithItsSoftware guards against a broken stream that goes on at an endpoint
// with other software than the one that began it: resumed, from its backup, or moved.
func TestStreamGoesOnWithItsSoftware(t *testing.T) {
	resumable := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 3, Resumable: true}
	withBackup := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
	tests := map[string]struct {
		route  boragewick.HostRoute
		builds []boragewick.Build
		goesOn bool
	}{
		"resumed at the same software":             {resumable, []boragewick.Build{1, 2, 1, 2}, true},
		"no other endpoint with the same software": {resumable, []boragewick.Build{1, 2}, false},
		"all software unknown":                     {resumable, []boragewick.Build{0, 0}, true},
		"the other one is unknown":                 {resumable, []boragewick.Build{1, 0}, false},
		"from a backup with the same software":     {withBackup, []boragewick.Build{1, 2, 1, 2}, true},
		"no backup with the same software":         {withBackup, []boragewick.Build{1, 2}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 8 { // the first endpoint is chosen at random
				lists := make([][]script, len(test.builds))
				g := newTestGateway(t, test.route, nil, lists...)
				g.Mover = &fakeMover{}
				sequence := firstThen(events(1, 3, false), events(4, 6, true))
				for i, e := range g.endpoints {
					e.scripts = []script{sequence}
					change := boragewick.EndpointChange{Endpoint: boragewick.Endpoint{
						Name: fmt.Sprint("e", i), Pool: "p", Kind: boragewick.EndpointPlain, Agent: e.addr, Build: test.builds[i],
					}}
					if test.route.SessionAffinity {
						change.Endpoint.Kind, change.Endpoint.Models = boragewick.EndpointModel, []boragewick.Model{{Weights: "1"}}
					}
					g.Placer.Update(change)
				}
				_, got, _, err := g.send(t, "/r/x", nil)
				if (err == nil) != test.goesOn {
					t.Fatalf("the caller got %q: %v", got, err)
				}
				used := map[boragewick.Build]bool{}
				for i, e := range g.endpoints {
					if e.requestCount() > 0 {
						used[test.builds[i]] = true
					}
				}
				if len(used) != 1 {
					t.Fatalf("endpoints with %d kinds of software got the request", len(used))
				}
			}
		})
	}
}
