package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

func TestWhoStartsWithTheWholeBurst(t *testing.T) {
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
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			l := New(boragewick.ClockFunc(func() time.Time { return now }))
			l.Start(tt.first)
			l.SetRates([]boragewick.Rate{old})
			l.SetRates([]boragewick.Rate{old, added})
			g, err := l.Grant(context.Background(), boragewick.GrantRequest{
				Router: "r", Incarnation: "i", Workspace: tt.workspace, Number: 1, Least: 100, Wanted: 100,
			})
			if err != nil {
				t.Fatal(err)
			}
			if g.Tokens != tt.want {
				t.Errorf("got %d tokens, want %d", g.Tokens, tt.want)
			}
		})
	}
}
