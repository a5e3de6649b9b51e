package ejector

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// inOrder selects all endpoints that are not avoided, in the order in which they
// were added.
type inOrder struct{ endpoints []*boragewick.Endpoint }

func (o *inOrder) Update(changes ...boragewick.EndpointChange) {
	for _, c := range changes {
		o.endpoints = append(o.endpoints, &c.Endpoint)
	}
}

func (o *inOrder) Select(_ context.Context, s boragewick.Selection) ([]boragewick.Candidate, error) {
	var out []boragewick.Candidate
	for _, e := range o.endpoints {
		if s.Avoid == nil || !s.Avoid(e.Name) {
			out = append(out, boragewick.Candidate{Endpoint: e})
		}
	}
	if len(out) == 0 {
		return nil, boragewick.ErrNoEndpoint
	}
	return out, nil
}

// step waits and then reports the same result several times; without times it
// only waits.
type step struct {
	endpoint string
	err      error
	times    int
	wait     time.Duration
}

func endpoint(i int, incarnation boragewick.Incarnation) boragewick.Endpoint {
	return boragewick.Endpoint{Name: fmt.Sprint(i), Pool: "models", Incarnation: incarnation}
}

func runSteps(j *Ejector, now *time.Time, steps []step) {
	for _, s := range steps {
		*now = now.Add(s.wait)
		for range s.times {
			j.Report(boragewick.DispatchReport{Endpoint: s.endpoint, Incarnation: "a", Err: s.err})
		}
	}
}

func newEjector(n int) (*Ejector, *time.Time) {
	now := time.Unix(1000, 0)
	j := &Ejector{Selector: &inOrder{}, Clock: boragewick.ClockFunc(func() time.Time { return now })}
	for i := range n {
		j.Update(boragewick.EndpointChange{Endpoint: endpoint(i, "a")})
	}
	return j, &now
}

func TestFirstChoice(t *testing.T) {
	lost := errors.Wrap(boragewick.ErrLinkLost, "0")
	failed := step{endpoint: "0", err: lost, times: maxFailures}
	tests := map[string]struct {
		steps []step
		want  string
	}{
		"none":                      {nil, "0"},
		"fewer than the limit":      {[]step{{endpoint: "0", err: lost, times: maxFailures - 1}}, "0"},
		"ejected":                   {[]step{failed}, "1"},
		"success in between":        {[]step{{endpoint: "0", err: lost, times: 2}, {endpoint: "0", times: 1}, {endpoint: "0", err: lost, times: 2}}, "0"},
		"refusals":                  {[]step{{endpoint: "0", err: boragewick.NotRun(boragewick.ErrOverloaded), times: 9}}, "0"},
		"canceled by the caller":    {[]step{{endpoint: "0", err: boragewick.ErrCanceled, times: 9}}, "0"},
		"never sent":                {[]step{{endpoint: "0", err: boragewick.NotRun(lost), times: maxFailures}}, "1"},
		"trial due":                 {[]step{failed, {wait: time.Second}}, "0"},
		"failed trial":              {[]step{failed, {endpoint: "0", err: lost, times: 1, wait: time.Second}}, "1"},
		"second ejection is longer": {[]step{failed, {endpoint: "0", err: lost, times: 1, wait: time.Second}, {wait: 1500 * time.Millisecond}}, "1"},
		"second ejection ends":      {[]step{failed, {endpoint: "0", err: lost, times: 1, wait: time.Second}, {wait: 2 * time.Second}}, "0"},
		"trial succeeded":           {[]step{failed, {endpoint: "0", times: 1, wait: time.Second}}, "0"},
		"at most half of the pool":  {[]step{failed, {endpoint: "1", err: lost, times: 9}, {endpoint: "2", err: lost, times: 9}}, "2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			j, now := newEjector(4)
			runSteps(j, now, tt.steps)
			got, err := j.Select(t.Context(), boragewick.Selection{})
			if err != nil {
				t.Fatal(err)
			}
			if got[0].Endpoint.Name != tt.want {
				t.Errorf("chose %s, want %s", got[0].Endpoint.Name, tt.want)
			}
		})
	}
}

func TestOneTrialAtATime(t *testing.T) {
	j, now := newEjector(4)
	runSteps(j, now, []step{{endpoint: "0", err: boragewick.ErrLinkLost, times: maxFailures}, {wait: time.Second}})
	want := []string{"0", "1", "1", "1"}
	for i, w := range want {
		got, err := j.Select(t.Context(), boragewick.Selection{})
		if err != nil || got[0].Endpoint.Name != w {
			t.Fatalf("choice %d: %v %v, want %s", i, got, err, w)
		}
	}
	*now = now.Add(trialTimeoutSeconds * time.Second)
	if got, _ := j.Select(t.Context(), boragewick.Selection{}); got[0].Endpoint.Name != "0" {
		t.Error("no new trial after one without a report timed out")
	}
}

func TestEjectedIsBetterThanNone(t *testing.T) {
	j, now := newEjector(2)
	runSteps(j, now, []step{{endpoint: "0", err: boragewick.ErrLinkLost, times: maxFailures}})
	avoid := func(name string) bool { return name == "1" }
	got, err := j.Select(t.Context(), boragewick.Selection{Avoid: avoid})
	if err != nil || len(got) != 1 || got[0].Endpoint.Name != "0" {
		t.Errorf("%v, %v", got, err)
	}
}

func TestNewRunStartsWithoutFailures(t *testing.T) {
	j, now := newEjector(4)
	runSteps(j, now, []step{{endpoint: "0", err: boragewick.ErrLinkLost, times: maxFailures}})
	if n := j.Ejected("models"); n != 1 {
		t.Fatalf("%d ejected", n)
	}
	j.Update(boragewick.EndpointChange{Endpoint: endpoint(0, "b")})
	runSteps(j, now, []step{{endpoint: "0", err: boragewick.ErrLinkLost, times: maxFailures}})
	if n := j.Ejected("models"); n != 0 {
		t.Errorf("%d ejected by reports about the previous run", n)
	}
	j.Update(boragewick.EndpointChange{Endpoint: endpoint(0, "b"), Removed: true})
	if n := j.Ejected("models"); n != 0 {
		t.Errorf("%d ejected after the removal", n)
	}
}
