package retry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

func newBudget() (*Budget, *time.Time) {
	now := time.Unix(1000, 0)
	return &Budget{Clock: boragewick.ClockFunc(func() time.Time { return now }), Seed: 3}, &now
}

// drain takes all retries of a workspace and returns their number.
func drain(b *Budget, id boragewick.ID) int {
	n := 0
	for {
		if _, ok := b.TakeRetry(id, 1); !ok {
			return n
		}
		n++
	}
}

func TestRetry(t *testing.T) {
	tests := map[string]struct {
		requests int
		wait     time.Duration
		want     int
	}{
		"no requests":          {want: 0},
		"fraction of requests": {requests: 50, want: 10},
		"capped at the burst":  {requests: 1000, want: workspaceBurst},
		"refilled while idle":  {wait: 20 * time.Second, want: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, now := newBudget()
			if n := drain(b, "w"); n != workspaceBurst {
				t.Fatalf("%d retries from a new budget", n)
			}
			for range tt.requests {
				b.AddRequest("w")
			}
			*now = now.Add(tt.wait + time.Millisecond)
			if n := drain(b, "w"); n != tt.want {
				t.Errorf("%d retries, want %d", n, tt.want)
			}
		})
	}
}

func TestWorkspacesShareRouterBudget(t *testing.T) {
	b, _ := newBudget()
	total := 0
	for i := range 50 {
		total += drain(b, boragewick.ID(fmt.Sprint(i)))
	}
	if total != routerBurst {
		t.Errorf("%d retries, want %d", total, routerBurst)
	}
	other, _ := newBudget()
	drain(other, "noisy")
	if _, ok := other.TakeRetry("quiet", 1); !ok {
		t.Error("one workspace used up the budget of another")
	}
}

func TestBackoffGrows(t *testing.T) {
	b, now := newBudget()
	var longest [10]time.Duration
	for range 1000 {
		*now = now.Add(10 * time.Second)
		attempt := int(now.Unix()/10%9) + 1
		at, ok := b.TakeRetry("w", attempt)
		if !ok {
			t.Fatal("no retry left")
		}
		longest[attempt] = max(longest[attempt], at.Sub(*now))
	}
	for attempt := 1; attempt < len(longest); attempt++ {
		limit := baseBackoffMilliseconds * time.Millisecond << min(attempt-1, maxDoublings)
		if longest[attempt] >= limit || longest[attempt] < limit/2 {
			t.Errorf("attempt %d waits up to %s, want up to %s", attempt, longest[attempt], limit)
		}
	}
}

func TestPreferOtherDomains(t *testing.T) {
	endpoint := func(s string) *boragewick.Endpoint {
		return &boragewick.Endpoint{Name: s, FailureDomain: s[:1]}
	}
	tests := map[string]struct {
		in, failed, want string
	}{
		"nothing failed":     {"a1 b1", "", "a1 b1"},
		"other domain first": {"a1 a2 b1 a3 c1", "a1", "b1 c1 a2 a3"},
		"several failed":     {"a1 a2 b1 b2 c1", "a1 b1", "c1 a2 b2"},
		"one domain":         {"a1 a2", "a1", "a2"},
		"none left":          {"a1", "a1", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var in []boragewick.Candidate
			for _, s := range strings.Fields(tt.in) {
				in = append(in, boragewick.Candidate{Endpoint: endpoint(s)})
			}
			var failed []*boragewick.Endpoint
			for _, s := range strings.Fields(tt.failed) {
				failed = append(failed, endpoint(s))
			}
			var got []string
			for _, c := range PreferOtherDomains(in, failed...) {
				got = append(got, c.Endpoint.Name)
			}
			if s := strings.Join(got, " "); s != tt.want {
				t.Errorf("got %s, want %s", s, tt.want)
			}
		})
	}
}

func TestWorkspacesAreBounded(t *testing.T) {
	b, _ := newBudget()
	for i := range 3 * maxWorkspaces {
		b.AddRequest(boragewick.ID(fmt.Sprint(i)))
	}
	if n := len(b.workspaces); n > maxWorkspaces {
		t.Errorf("%d workspaces kept", n)
	}
}
