package quorum

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

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

// TestStoppedLeaderHandsOver guards against a group that is without a leader for an election
// timeout after a planned stop, and against commands that are lost with it.
func TestStoppedLeaderHandsOver(t *testing.T) {
	tests := map[string]struct {
		handOverTime, within time.Duration
	}{
		"hands over": {200 * time.Millisecond, boragewick.DefaultElectionTimeout / 5},
		"does not":   {0, 5 * boragewick.DefaultElectionTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, "a", "b", "c")
				g.handOverTime = test.handOverTime
				defer g.stopAll()
				for _, v := range g.cfg.Voters {
					g.start(v)
				}
				var commands []string
				for range 10 {
					before := g.leader()
					command := fmt.Sprintf("before-%d", len(commands))
					commands = append(commands, command)
					g.commit(command)
					time.Sleep(boragewick.DefaultElectionTimeout)
					if err := g.stop(before.cfg.Name); err != nil {
						t.Fatal(err)
					}
					stopped := time.Now()
					after := g.leader()
					if took := time.Since(stopped); took > test.within {
						t.Errorf("no leader for %s", took)
					}
					if list := after.machine.list(); !slices.Contains(list, command) && g.propose(after, "next") != nil {
						t.Errorf("%s is lost", command)
					}
					g.start(before.cfg.Name)
				}
				for _, v := range g.cfg.Voters {
					g.eventually(v+" has all", func() bool { return g.hasApplied(v, commands...) })
				}
			})
		})
	}
}
