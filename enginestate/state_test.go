package enginestate

import (
	"testing"

	"github.com/boragewick/boragewick"
)

// follow returns the cache content at a follower after the update.
func follow(parts map[uint64]int, u *boragewick.EngineUpdate) {
	if u.Reset {
		clear(parts)
	}
	for _, p := range u.Parts {
		if p.Tokens == 0 {
			delete(parts, p.Key)
		} else {
			parts[p.Key] = p.Tokens
		}
	}
}

// TestEvictedPartsAreForgotten answers the pattern of an engine that serves a long
// series of prompts of which each is evicted: the state stays small, and a follower
// that is far behind still ends with the right content.
func TestEvictedPartsAreForgotten(t *testing.T) {
	var s State
	var near, far Cursor
	nearParts, farParts := map[uint64]int{}, map[uint64]int{}
	const rounds = 5 * maxEvictedParts
	for i := range uint64(rounds) {
		s.AddParts([]boragewick.CachedPart{{Key: i, Tokens: 10}})
		if i >= 3 {
			s.AddParts([]boragewick.CachedPart{{Key: i - 3}})
		}
		u, _ := s.Next(&near)
		follow(nearParts, &u)
		if i == 10 {
			u, _ := s.Next(&far)
			follow(farParts, &u)
		}
	}
	u, _ := s.Next(&far)
	follow(farParts, &u)
	if len(s.parts) > maxEvictedParts+10 {
		t.Errorf("%d parts are kept", len(s.parts))
	}
	for name, parts := range map[string]map[uint64]int{"near": nearParts, "far": farParts} {
		if len(parts) != 3 || parts[rounds-1] != 10 || parts[rounds-3] != 10 {
			t.Errorf("%s follower has %d parts: %v", name, len(parts), parts)
		}
	}
}

func TestNextReportsChanges(t *testing.T) {
	var s State
	var c Cursor
	steps := []struct {
		name    string
		change  func()
		changed bool
	}{
		{"nothing", func() {}, false},
		{"load", func() { s.SetLoad(&boragewick.EngineReport{Active: 1}) }, true},
		{"the same load", func() { s.SetLoad(&boragewick.EngineReport{Active: 1, Used: 7}) }, false},
		{"down", func() { s.SetDown(true) }, true},
		{"still down", func() { s.SetDown(true) }, false},
		{"parts", func() { s.AddParts([]boragewick.CachedPart{{Key: 1, Tokens: 2}}) }, true},
		{"reset", s.Reset, true},
		{"an update", func() { s.Apply(&boragewick.EngineUpdate{Active: 4}) }, true},
		{"the same update", func() { s.Apply(&boragewick.EngineUpdate{Active: 4}) }, false},
	}
	for _, step := range steps {
		step.change()
		if _, changed := s.Next(&c); changed != step.changed {
			t.Errorf("%s: changed %t", step.name, changed)
		}
	}
}

// TestUpdatesAreBounded guards against an update that no message holds: an engine with many
// cached parts, and one that reports ever new parts and evicts none.
func TestUpdatesAreBounded(t *testing.T) {
	const cached = 5*maxUpdateParts + 7
	var s State
	for i := range uint64(cached) {
		s.AddParts([]boragewick.CachedPart{{Key: i, Tokens: 10}})
	}
	var c Cursor
	got := map[uint64]int{}
	updates := 0
	for s.IsBehind(&c) {
		u, changed := s.Next(&c)
		if !changed || len(u.Parts) > maxUpdateParts {
			t.Fatalf("update with %d parts, changed %t", len(u.Parts), changed)
		}
		if updates == 2 { // parts that change meanwhile
			s.AddParts([]boragewick.CachedPart{{Key: 3}, {Key: cached - 1, Tokens: 20}})
		}
		follow(got, &u)
		updates++
	}
	if len(got) != cached-1 || got[cached-1] != 20 || got[3] != 0 || updates != 6 {
		t.Errorf("%d parts after %d updates, %d and %d tokens", len(got), updates, got[3], got[cached-1])
	}
	for i := range uint64(3 * maxParts) {
		s.AddParts([]boragewick.CachedPart{{Key: cached + i, Tokens: 10}})
	}
	if len(s.parts) > maxParts {
		t.Errorf("%d parts are kept", len(s.parts))
	}
}
