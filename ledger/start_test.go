package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

func TestInitialLevel(t *testing.T) {
	old := boragewick.Rate{Workspace: "old", TokensPerSecond: 10, Burst: 100}
	added := boragewick.Rate{Workspace: "new", TokensPerSecond: 10, Burst: 100}
	tests := map[string]struct {
		first     bool
		workspace boragewick.ID
		want      uint64
	}{
		"workspace of an earlier owner":  {false, "old", 0},
		"new workspace of a later owner": {false, "new", 100},
		"workspace of the first owner":   {true, "old", 100},
		"new workspace, first owner":     {true, "new", 100},
		"earlier workspace, first rate":  {false, "without", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			l := New(boragewick.ClockFunc(func() time.Time { return now }))
			l.Start(tt.first, old.Workspace, "without")
			l.SetRates([]boragewick.Rate{old})
			l.SetRates([]boragewick.Rate{old, added, {Workspace: "without", TokensPerSecond: 10, Burst: 100}})
			if got := requestTokens(t, l, tt.workspace); got != tt.want {
				t.Errorf("got %d tokens, want %d", got, tt.want)
			}
		})
	}
}

// requestTokens asks for 100 tokens and returns the number granted.
func requestTokens(t *testing.T, l *Ledger, workspace boragewick.ID) uint64 {
	t.Helper()
	g, err := l.Grant(context.Background(), boragewick.GrantRequest{
		Router: "r", Incarnation: boragewick.NewIncarnation(), Workspace: workspace, Number: 1, Least: 100, Wanted: 100,
	})
	if err != nil {
		t.Fatal(err)
	}
	return g.Tokens
}

func TestReaddedRateGivesNoSecondBurst(t *testing.T) {
	rate := []boragewick.Rate{{Workspace: "again", TokensPerSecond: 10, Burst: 100}}
	for name, first := range map[string]bool{"first owner": true, "later owner": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			l := New(boragewick.ClockFunc(func() time.Time { return now }))
			l.Start(first)
			l.SetRates(rate)
			if got := requestTokens(t, l, "again"); got != 100 {
				t.Fatalf("got %d tokens at first", got)
			}
			l.SetRates(nil)
			now = now.Add(time.Hour)
			l.SetRates(nil)
			if len(l.accounts) != 0 {
				t.Fatal("the account is still there")
			}
			l.SetRates(rate)
			if got := requestTokens(t, l, "again"); got != 0 {
				t.Errorf("got %d tokens at once when the rate was set again", got)
			}
		})
	}
}

// TestHeadroom covers demand at a new owner when neither it nor the router has a
// record of what was granted before, as after a restart of all processes at once.
func TestHeadroom(t *testing.T) {
	for name, headroom := range map[string]uint64{"none": 0, "some": 300} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := New(boragewick.ClockFunc(func() time.Time { return now }))
			l.Headroom = headroom
			l.SetRates([]boragewick.Rate{{Workspace: "w", TokensPerSecond: 1000, Burst: 1000}})
			l.Start(false, "w")
			g, err := l.Grant(t.Context(), boragewick.GrantRequest{
				Router: "r", Incarnation: "i", Workspace: "w", Number: 1, Least: 200, Wanted: 200, WaitMillis: 10,
			})
			if err != nil {
				t.Fatal(err)
			}
			if (g.Tokens >= 200) != (headroom > 0) || g.Tokens > headroom {
				t.Errorf("granted %d with a headroom of %d", g.Tokens, headroom)
			}
		})
	}
}
