package core

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
)

// steppedClock is a clock that tests advance.
type steppedClock struct{ now time.Time }

func (c *steppedClock) Now() time.Time { return c.now }

// fakeGroup is the log of a leader, whose membership changes are committed at once.
type fakeGroup struct {
	Replica
	voters, learners []string
	// least is the smallest number of voters that the group has had.
	least int
}

func (g *fakeGroup) Status() boragewick.LogStatus {
	st := boragewick.LogStatus{Leading: true, Voters: slices.Clone(g.voters), Learners: slices.Clone(g.learners)}
	for _, name := range g.voters {
		st.Members.Voters = append(st.Members.Voters, boragewick.Member{Name: name})
	}
	for _, name := range g.learners {
		st.Members.Learners = append(st.Members.Learners, boragewick.Member{Name: name})
	}
	return st
}

func (g *fakeGroup) Promote(_ context.Context, name string) error {
	g.learners = remove(g.learners, name)
	g.voters = append(g.voters, name)
	return nil
}

func (g *fakeGroup) Demote(_ context.Context, name string) error {
	g.learners = append(g.learners, name)
	return g.Remove(context.Background(), name)
}

func (g *fakeGroup) Remove(_ context.Context, name string) error {
	if !slices.Contains(g.voters, name) {
		g.learners = remove(g.learners, name)
		return nil
	}
	g.voters = remove(g.voters, name)
	g.least = min(g.least, len(g.voters))
	return nil
}

func remove(list []string, name string) []string {
	return slices.DeleteFunc(list, func(n string) bool { return n == name })
}

// TestReplacedVoters guards against a group that still relies on a voter that has left, or has
// been silent for as long as a successor needs, when the next one is lost (review/6), and against
// voters that are given up though no other replica can vote in their place.
func TestReplacedVoters(t *testing.T) {
	const catchUp = 4 * time.Second
	// step is what happens to replicas: they leave, are back after a new start, or are silent for
	// nearly catchUp, for as long as a restart takes, or for minutes.
	type step struct{ action, replicas string }
	tests := map[string]struct {
		// voters begin with the leader.
		voters, learners string
		steps            []step
		want             string
		least            int
	}{
		"voter leaves":                            {"a b c", "d e", []step{{"leaves", "c"}}, "a b d", 3},
		"two leave in turn":                       {"a b c", "d e", []step{{"leaves", "c"}, {"leaves", "b"}}, "a d e", 3},
		"two leave at once":                       {"a b c", "d e", []step{{"leaves", "b c"}}, "a d e", 3},
		"two leave, one successor":                {"a b c", "d", []step{{"leaves", "b c"}}, "a c d", 3},
		"leader leaves":                           {"a b c", "d", []step{{"leaves", "a"}}, "a b c d", 3},
		"leader and another leave":                {"a b c", "d e", []step{{"leaves", "a c"}}, "a b d e", 3},
		"nobody to take its place":                {"a b c", "", []step{{"leaves", "c"}}, "a b c", 3},
		"successor leaves too":                    {"a b c", "d", []step{{"leaves", "c d"}}, "a b c", 3},
		"leaves and starts again":                 {"a b c", "d", []step{{"leaves", "c"}, {"back", "c"}}, "a b d", 3},
		"starts again and its successor leaves":   {"a b c", "d", []step{{"leaves", "c"}, {"back", "c"}, {"leaves", "d"}}, "a b c", 3},
		"most voters, one leaves":                 {"a b c d e", "f", []step{{"leaves", "e"}}, "a b c d f", 4},
		"voter is silent":                         {"a b c", "d", []step{{"silent", "c"}}, "a b d", 2},
		"two are silent in turn":                  {"a b c", "d e", []step{{"silent", "c"}, {"silent", "b"}}, "a d e", 2},
		"voter is silent, nobody takes its place": {"a b c", "", []step{{"silent", "c"}}, "a b c", 3},
		"successor is silent":                     {"a b c", "d", []step{{"silent", "c d"}}, "a b c", 3},
		"restart without a notice":                {"a b c", "d", []step{{"shortly silent", "c"}}, "a b c", 3},
		"leaves, then silent":                     {"a b c", "d e", []step{{"leaves", "c"}, {"silent", "c"}}, "a b d", 3},
		"learner long silent":                     {"a b c", "d e", []step{{"forgotten", "e"}, {"leaves", "c"}}, "a b d", 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr := func(replica string) netip.AddrPort {
				return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, replica[0]}), 7600)
			}
			names := func(text string) []string {
				list := strings.Fields(text)
				for i, replica := range list {
					list[i] = addr(replica).String()
				}
				return list
			}
			group := &fakeGroup{voters: names(test.voters), learners: names(test.learners)}
			group.least = len(group.voters)
			clock := &steppedClock{now: time.Unix(1000, 0)}
			c := &Core{
				Self: addr("a"), TolerateLost: len(group.voters) / 2, CatchUp: catchUp, Replica: group,
				Clock: clock, Logger: log.NewNopLogger(),
			}
			started := clock.now
			silent := map[string]bool{}
			// pass lets the others be heard for some time, after which the group is changed.
			pass := func(d time.Duration) {
				for end := clock.now.Add(d); clock.now.Before(end); clock.now = clock.now.Add(membershipInterval) {
					for _, replica := range slices.Concat(group.voters, group.learners) {
						if a := netip.MustParseAddrPort(replica); !silent[replica] && a != c.Self {
							c.mu.Lock()
							c.init()
							c.lastHeard[a] = clock.now
							c.mu.Unlock()
						}
					}
					for c.adjustMembership(t.Context(), clock.now, started) {
					}
				}
			}
			pass(time.Second)
			for _, step := range test.steps {
				for _, replica := range names(step.replicas) {
					switch step.action {
					case "leaves":
						if replica == c.Self.String() {
							c.noteLeaving(c.Self)
						} else if _, err := c.join(t.Context(), boragewick.JoinRequest{Member: boragewick.Member{Name: replica}, Leaving: true}); err != nil {
							t.Fatal(err)
						}
					case "back":
						if _, err := c.join(t.Context(), boragewick.JoinRequest{Member: boragewick.Member{Name: replica}}); err != nil {
							t.Fatal(err)
						}
					default:
						silent[replica] = true
					}
				}
				switch step.action {
				case "silent":
					pass(catchUp - time.Second)
				case "forgotten":
					pass(3 * time.Minute)
				default:
					pass(time.Second)
				}
			}
			got := slices.Clone(group.voters)
			want := names(test.want)
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) || group.least < test.least {
				t.Errorf("voters %v, want %v; at least %d of them, want %d", got, want, group.least, test.least)
			}
			if slices.Contains(test.steps, step{"forgotten", "e"}) && slices.Contains(group.learners, names("e")[0]) {
				t.Error("a learner is kept that is gone")
			}
		})
	}
}
