package placement

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// answered records an answer of the engine with index i.
func answered(p *Placement, i int, r boragewick.Reply) {
	s := selection("sheet", "session", "own")
	e := engine(i, "1")
	f := p.Begin(&boragewick.Candidate{Endpoint: &e, Weights: "1"}, &s)
	defer f.End()
	f.Answered(&r)
}

// chosen returns the names of the candidates for a request.
func chosen(p *Placement) ([]string, error) {
	list, err := p.Select(context.Background(), selection("sheet", "session", "own"))
	var names []string
	for _, c := range list {
		names = append(names, c.Endpoint.Name)
	}
	return names, err
}

// TestStatementOfLeaving answers the pattern in which an engine states in an answer
// that it leaves while the control replicas still list it as ready.
func TestStatementOfLeaving(t *testing.T) {
	restarted := engine(0, "1")
	restarted.Incarnation = "2"
	newWeights := engine(0, "2")
	reused := engine(7, "1")
	reused.Agent = engine(0, "1").Agent
	tests := map[string]struct {
		after  boragewick.EndpointChange
		usable int
	}{
		"the table repeats that it is ready":      {boragewick.EndpointChange{Endpoint: engine(0, "1")}, 1},
		"the table has other weights for it":      {boragewick.EndpointChange{Endpoint: newWeights}, 1},
		"it restarts under its name":              {boragewick.EndpointChange{Endpoint: restarted}, 2},
		"its address is used by another endpoint": {boragewick.EndpointChange{Endpoint: reused}, 2},
		"it is removed":                           {boragewick.EndpointChange{Endpoint: engine(0, "1"), Removed: true}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(2)
			answered(p, 0, boragewick.Reply{Leaving: true})
			if names, err := chosen(p); err != nil || len(names) != 1 || names[0] != "e01" {
				t.Fatalf("chosen %v, %v", names, err)
			}
			p.Update(test.after)
			if names, err := chosen(p); err != nil || len(names) != test.usable {
				t.Errorf("chosen %v, %v, want %d", names, err, test.usable)
			}
		})
	}
}

func TestStatementOfLeavingMovesRuns(t *testing.T) {
	p, _ := newPlacement(2)
	s := selection("sheet", "session", "own")
	e := engine(0, "1")
	f := p.Begin(&boragewick.Candidate{Endpoint: &e, Weights: "1"}, &s)
	defer f.End()
	answered(p, 0, boragewick.Reply{Leaving: true})
	p.Update(boragewick.EndpointChange{Endpoint: engine(0, "1")})
	select {
	case <-f.Left():
	default:
		t.Error("a run at the engine isn't told that it leaves")
	}
}

// TestRetryAfter answers the pattern in which engines that are full ask a router to
// stay away for some time.
func TestRetryAfter(t *testing.T) {
	p, clock := newPlacement(2)
	answered(p, 0, boragewick.Reply{NotRun: true, RetryAfter: 2500 * time.Millisecond})
	answered(p, 0, boragewick.Reply{NotRun: true, RetryAfter: time.Second})
	if names, _ := chosen(p); len(names) != 1 || names[0] != "e01" {
		t.Fatalf("chosen %v", names)
	}
	answered(p, 1, boragewick.Reply{NotRun: true, RetryAfter: 4 * time.Second})
	_, err := chosen(p)
	var retry *boragewick.RetryError
	if !errors.Is(err, boragewick.ErrNoEndpoint) || !errors.Is(err, boragewick.ErrNotRun) || !errors.As(err, &retry) ||
		!retry.At.Equal(clock.now.Add(2500*time.Millisecond)) {
		t.Fatalf("no endpoint: %v", err)
	}
	p.Update(boragewick.EndpointChange{Endpoint: engine(0, "1")})
	clock.now = clock.now.Add(2499 * time.Millisecond)
	if names, err := chosen(p); err == nil {
		t.Errorf("chosen %v before the time", names)
	}
	// The clock counts a suspension, so that the end of one may pass both times.
	clock.now = clock.now.Add(2 * time.Second)
	if names, err := chosen(p); err != nil || len(names) != 2 {
		t.Errorf("chosen %v, %v after the time", names, err)
	}
}

func TestRetryAfterEndsWithTheRun(t *testing.T) {
	p, _ := newPlacement(1)
	answered(p, 0, boragewick.Reply{NotRun: true, RetryAfter: time.Minute})
	if names, err := chosen(p); err == nil {
		t.Fatalf("chosen %v", names)
	}
	e := engine(0, "1")
	e.Incarnation = "2"
	p.Update(boragewick.EndpointChange{Endpoint: e})
	if names, err := chosen(p); err != nil || len(names) != 1 {
		t.Errorf("chosen %v, %v after a restart", names, err)
	}
}
