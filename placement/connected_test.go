package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestKeptConnections answers the pattern of a large deployment in which a router
// sends few requests to each of many engines and opened a connection for nearly every
// one: equal engines to which it keeps a connection come first, until the connection
// has expired or the engine has a queue.
func TestKeptConnections(t *testing.T) {
	p, clock := newPlacement(50)
	s := selection("sheet", "session", "own")
	report := func(name string, queued int) { p.ObserveEngine(name, &boragewick.EngineUpdate{Queued: queued}) }
	for i := range 50 {
		report(fmt.Sprintf("e%02d", i), 0)
	}
	e := engine(20, "1")
	p.Begin(&boragewick.Candidate{Endpoint: &e, Weights: "1"}, &s).End()
	report("e20", 0)
	steps := []struct {
		name   string
		change func()
		kept   bool
	}{
		{"kept", func() {}, true},
		{"with a queue", func() { report("e20", 1) }, false},
		{"without a queue again", func() { report("e20", 0) }, true},
		{"expired", func() { clock.now = clock.now.Add(connectionTTL + time.Millisecond) }, false},
	}
	for _, step := range steps {
		step.change()
		n := 0
		for range 40 {
			if bestCandidate(t, p, s).Endpoint.Name == "e20" {
				n++
			}
		}
		if step.kept && n != 40 || !step.kept && n > 20 {
			t.Errorf("%s: chosen %d times of 40", step.name, n)
		}
	}
}
