package quorum

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/boragewick/boragewick"
)

var (
	_ boragewick.Log     = (*Node)(nil)
	_ boragewick.Service = (*Node)(nil)
	_ boragewick.Handler = (*Node)(nil)
)

func TestGroupsCommitAndRestart(t *testing.T) {
	tests := map[string][]string{
		"one":   {"a"},
		"three": {"a", "b", "c"},
		"five":  {"a", "b", "c", "d", "e"},
	}
	for name, voters := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, voters...)
				for round := range 2 {
					for _, v := range voters {
						g.start(v)
					}
					r := g.leader()
					for i := range 20 {
						if _, err := r.Propose(context.Background(), fmt.Appendf(nil, "w%d", i)); err != nil {
							t.Fatal(err)
						}
					}
					if err := r.Barrier(context.Background()); err != nil {
						t.Fatal(err)
					}
					if got := len(r.machine.list()); got != 20*(round+1) {
						t.Errorf("round %d: %d commands, want %d", round, got, 20*(round+1))
					}
					g.stopAll()
				}
			})
		})
	}
}
