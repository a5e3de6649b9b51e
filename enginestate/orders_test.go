package enginestate

import (
	"testing"

	"github.com/boragewick/boragewick"
)

// TestOrderChanges guards against followers that miss the end of a load, and against
// updates to the leader, which follows all engines, for each change of their load or cache.
func TestOrderChanges(t *testing.T) {
	weights := func(version uint64) map[string]uint64 { return map[string]uint64{"m": version} }
	load := func(s *State, r boragewick.EngineReport) { s.SetLoad(&r) }
	busy := boragewick.EngineReport{Weights: weights(1), Busy: true, Orders: 1}
	steps := []struct {
		name    string
		change  func(s *State)
		changed bool
	}{
		{"nothing", func(*State) {}, false},
		{"first report", func(s *State) { load(s, boragewick.EngineReport{Weights: weights(1), Active: 2}) }, true},
		{"other load", func(s *State) { load(s, boragewick.EngineReport{Weights: weights(1), Active: 1, Queued: 4}) }, false},
		{"parts", func(s *State) { s.AddParts([]boragewick.CachedPart{{Key: 1, Tokens: 2}}) }, false},
		{"idle", func(s *State) { load(s, boragewick.EngineReport{Weights: weights(1)}) }, true},
		{"order accepted", func(s *State) { load(s, busy) }, true},
		{"the same", func(s *State) { load(s, busy) }, false},
		{"loaded", func(s *State) { load(s, boragewick.EngineReport{Weights: weights(2), Orders: 1}) }, true},
		{"down", func(s *State) { s.SetDown(true) }, true},
		{"up", func(s *State) { s.SetDown(false) }, true},
		{"another run", func(s *State) { load(s, boragewick.EngineReport{Weights: weights(2), Orders: 1, Started: 5}) }, true},
		{"the same run", func(s *State) { load(s, boragewick.EngineReport{Weights: weights(2), Orders: 1, Started: 5}) }, false},
		{"restarted", (*State).Reset, true},
		{"still nothing known", (*State).Reset, false},
	}
	var s State
	c := Cursor{OrdersOnly: true}
	for _, step := range steps {
		step.change(&s)
		u, changed := s.Next(&c)
		if changed != step.changed {
			t.Errorf("%s: changed %t", step.name, changed)
		}
		if len(u.Parts) > 0 || u.Reset {
			t.Errorf("%s: parts in an update about orders", step.name)
		}
	}
}

// TestWeightsAreSentOnChange guards against versions that a follower or a relay misses or
// loses, though they aren't part of every update, and against updates that repeat them at
// each change of the load.
func TestWeightsAreSentOnChange(t *testing.T) {
	var agent, relay State
	var toRelay, toRouter Cursor
	var router boragewick.EngineUpdate
	repeated := 0
	forward := func() {
		u, _ := agent.Next(&toRelay)
		relay.Apply(&u)
		u, _ = relay.Next(&toRouter)
		if len(u.Weights) > 0 {
			router = u
			repeated++
		}
	}
	for active := 1; active < 20; active++ {
		agent.SetLoad(&boragewick.EngineReport{Weights: map[string]uint64{"m": 1}, Active: active})
		forward()
	}
	if router.Weights["m"] != 1 || repeated != 1 {
		t.Errorf("versions %v, sent %d times", router.Weights, repeated)
	}
	agent.SetLoad(&boragewick.EngineReport{Weights: map[string]uint64{"m": 1}, Busy: true, Orders: 7})
	forward()
	if !router.Busy || router.Orders != 7 {
		t.Errorf("busy %t, %d orders", router.Busy, router.Orders)
	}
	agent.SetLoad(&boragewick.EngineReport{Weights: map[string]uint64{"m": 2}, Orders: 7})
	forward()
	if router.Weights["m"] != 2 || router.Busy {
		t.Errorf("after the load: versions %v, busy %t", router.Weights, router.Busy)
	}
	agent.SetLoad(&boragewick.EngineReport{Weights: map[string]uint64{"m": 2}, Started: 9})
	forward()
	if router.Started != 9 {
		t.Errorf("run %d of an engine that has started again", router.Started)
	}
	relay.Reset() // the relay has lost the agent
	forward()
	var later Cursor
	if u, _ := relay.Next(&later); len(u.Weights) > 0 {
		t.Errorf("versions %v of an agent that is lost", u.Weights)
	}
}
