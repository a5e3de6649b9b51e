package takes

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

func TestTake(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	claim := boragewick.Claim{Workspace: "w", Key: "k", Agent: "a", Attempt: 1, Deadline: start.Add(time.Minute)}
	modified := func(f func(c *boragewick.Claim)) boragewick.Claim {
		c := claim
		f(&c)
		return c
	}
	second := modified(func(c *boragewick.Claim) { c.Attempt = 2 })
	tests := map[string]struct {
		before func(x *AgentClaims)
		claim  boragewick.Claim
		after  time.Duration
		want   error
		notRun bool
	}{
		"first":                     {claim: claim},
		"twice":                     {before: func(x *AgentClaims) { _ = x.Take(start, claim) }, claim: claim, want: boragewick.ErrClaimTaken},
		"next attempt":              {before: func(x *AgentClaims) { _ = x.Take(start, claim) }, claim: second},
		"older attempt":             {before: func(x *AgentClaims) { _ = x.Take(start, second) }, claim: claim, want: boragewick.ErrClaimTaken},
		"revoked":                   {before: func(x *AgentClaims) { _, _ = x.Revoke(start, claim) }, claim: claim, want: boragewick.ErrClaimTaken},
		"other run of the agent":    {claim: modified(func(c *boragewick.Claim) { c.Agent = "b" }), want: boragewick.ErrFenced},
		"other workspace, same key": {before: func(x *AgentClaims) { _ = x.Take(start, claim) }, claim: modified(func(c *boragewick.Claim) { c.Workspace = "v" })},
		"late":                      {claim: claim, after: 2 * time.Minute, want: boragewick.ErrTimeout, notRun: true},
		"late duplicate":            {before: func(x *AgentClaims) { _ = x.Take(start, claim) }, claim: claim, after: 2 * time.Minute, want: boragewick.ErrClaimTaken},
		"too late to know":          {claim: claim, after: time.Hour, want: boragewick.ErrTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			x := &AgentClaims{Agent: "a"}
			if tt.before != nil {
				tt.before(x)
			}
			err := x.Take(start.Add(tt.after), tt.claim)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if got := errors.Is(err, boragewick.ErrNotRun); got != tt.notRun {
				t.Errorf("marked not run: %t, want %t", got, tt.notRun)
			}
		})
	}
}

func TestRevoke(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	claim := boragewick.Claim{Workspace: "w", Key: "k", Agent: "a", Attempt: 1, Deadline: start.Add(time.Minute)}
	x := &AgentClaims{Agent: "a"}
	if err := x.Take(start, claim); err != nil {
		t.Fatal(err)
	}
	if revoked, err := x.Revoke(start, claim); revoked || err != nil {
		t.Errorf("a taken claim: %t, %v", revoked, err)
	}
	claim.Key = "other"
	for range 2 {
		if revoked, err := x.Revoke(start, claim); !revoked || err != nil {
			t.Errorf("a claim not taken: %t, %v", revoked, err)
		}
	}
	claim.Agent = "b"
	claim.Key = "third"
	if _, err := x.Revoke(start, claim); !errors.Is(err, boragewick.ErrFenced) {
		t.Errorf("another run's claim: %v", err)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	x := &AgentClaims{Agent: "a"}
	for n := range 3 * maxClaims {
		now = now.Add(20 * time.Millisecond)
		c := boragewick.Claim{Workspace: "w", Key: string(boragewick.RequestID(time.Duration(n).String())), Agent: "a", Attempt: 1, Deadline: now.Add(time.Second)}
		if err := x.Take(now, c); err != nil {
			t.Fatal(err)
		}
	}
	if len(x.claims) != len(x.order) || len(x.claims) > maxClaims {
		t.Errorf("%d claims, %d in order", len(x.claims), len(x.order))
	}
}

// TestClockSetBack sets the clock back after a taken claim has been evicted.
func TestClockSetBack(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	claim := boragewick.Claim{Workspace: "w", Key: "k", Agent: "a", Attempt: 1, Deadline: start.Add(time.Minute)}
	other := boragewick.Claim{Workspace: "w", Key: "l", Agent: "a", Attempt: 1, Deadline: start.Add(time.Hour)}
	x := &AgentClaims{Agent: "a"}
	if err := x.Take(start, claim); err != nil {
		t.Fatal(err)
	}
	if err := x.Take(start.Add(12*time.Minute), other); err != nil {
		t.Fatal(err)
	}
	err := x.Take(start.Add(time.Second), claim)
	if !errors.Is(err, boragewick.ErrTimeout) || errors.Is(err, boragewick.ErrNotRun) {
		t.Errorf("the claim again: %v", err)
	}
}

func TestTaken(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	claim := boragewick.Claim{Workspace: "w", Key: "k", Agent: "a", Attempt: 1, Deadline: start.Add(time.Minute)}
	x := &AgentClaims{Agent: "a"}
	if x.Taken(claim) {
		t.Error("taken before it was")
	}
	if err := x.Take(start, claim); err != nil {
		t.Fatal(err)
	}
	if !x.Taken(claim) {
		t.Error("not taken after it was")
	}
	claim.Attempt = 2
	if x.Taken(claim) {
		t.Error("the next attempt counts as taken")
	}
}
