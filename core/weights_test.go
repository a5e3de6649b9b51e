package core

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/registry"
)

// TestAgesOfWeightsAreRepeated guards against a router that keeps too low an age, since
// the only update with it was delayed, for example while the router was suspended.
func TestAgesOfWeightsAreRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Core{Registry: &registry.Registry{Clock: boragewick.ClockFunc(func() time.Time { return now })}}
	b, err := boragewick.Encode(boragewick.RegistryCommand{Weights: &boragewick.NamedWeights{Model: "m", Version: 2}})
	if err != nil {
		t.Fatal(err)
	}
	c.Registry.Apply(boragewick.Entry{Command: b})
	var sent cursor
	for _, step := range []struct {
		after   time.Duration
		weights bool
		age     time.Duration
		namings int
	}{
		{3 * time.Second, true, 3 * time.Second, 1},
		{100 * time.Millisecond, false, 0, 0},
		{time.Second, false, 4100 * time.Millisecond, 1},
		{30 * time.Second, false, 0, 0},
	} {
		now = now.Add(step.after)
		state, _ := c.Registry.State()
		var u boragewick.WatchUpdate
		c.addRegistry(&u, &sent, &state)
		if len(u.Namings) != step.namings || (u.Weights != nil) != step.weights {
			t.Fatalf("%d namings, weights %v", len(u.Namings), u.Weights)
		}
		if step.namings > 0 && u.Now.Sub(u.Namings[0].At) != step.age {
			t.Errorf("age %s, want %s", u.Now.Sub(u.Namings[0].At), step.age)
		}
	}
}

// TestRestartedReplicaKnowsAgeOfWeights guards against routers that take old weights for
// newly superseded, because the replicas that they follow have restarted and count the
// age from when they read their log again.
func TestRestartedReplicaKnowsAgeOfWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := boragewick.ClockFunc(func() time.Time { return now })
	newReplica := func(weights ...uint64) *Core {
		c := &Core{Clock: clock, Replica: &fakeReplica{}, Registry: &registry.Registry{Clock: clock}, Directory: &discovery.Directory{Clock: clock}, Logger: log.NewNopLogger()}
		for _, version := range weights {
			b, err := boragewick.Encode(boragewick.RegistryCommand{Weights: &boragewick.NamedWeights{Model: "m", Version: version}})
			if err != nil {
				t.Fatal(err)
			}
			c.Registry.Apply(boragewick.Entry{Command: b})
		}
		return c
	}
	other := newReplica(2, 3)
	now = now.Add(30 * time.Second)
	restarted := newReplica(2, 3)
	var atReplica, atRouter cursor
	atReplica.Heartbeats = true
	if u, _ := restarted.nextUpdate(&atRouter); len(u.Namings) != 2 {
		t.Fatalf("%d namings at first", len(u.Namings))
	}
	u, _ := other.nextUpdate(&atReplica)
	if u.Weights != nil {
		t.Error("the weights in the log are sent to a replica")
	}
	restarted.merge(netip.MustParseAddrPort("10.0.0.2:1"), &u)
	now = now.Add(keepaliveInterval)
	u, _ = restarted.nextUpdate(&atRouter)
	if len(u.Namings) != 2 {
		t.Fatalf("%d namings after those of another replica", len(u.Namings))
	}
	for _, n := range u.Namings {
		if age := u.Now.Sub(n.At); age != 31*time.Second {
			t.Errorf("version %d is %s old", n.Version, age)
		}
	}
}
