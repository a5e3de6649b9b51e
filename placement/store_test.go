package placement

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/boragewick/boragewick"
)

var (
	storeA = netip.MustParseAddrPort("172.16.0.1:80")
	storeB = netip.MustParseAddrPort("172.16.0.2:80")
)

// reportStored makes a store report some parts of the prompt, for the given
// weights, as stored.
func reportStored(p *Placement, store netip.AddrPort, s boragewick.Selection, weights string, parts ...int) {
	u := &boragewick.EngineUpdate{}
	for _, i := range parts {
		u.Parts = append(u.Parts, boragewick.CachedPart{
			Key: boragewick.CachedPartKey(s.CacheScope+"."+weights, s.Prefix[i].ID), Tokens: s.Prefix[i].Tokens,
		})
	}
	p.ObserveStore(store, u)
}

// TestStoreSourceAndTarget covers more prompts than fit in the engines' memory: what
// one engine has prefilled is stored, and fetched when no engine has it any more.
func TestStoreSourceAndTarget(t *testing.T) {
	agent := engine(0, "1").Agent
	tests := map[string]struct {
		set            func(p *Placement, s *boragewick.Selection)
		source, saveTo netip.AddrPort
	}{
		"prefilled for the first time": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1")
		}, netip.AddrPort{}, storeA},
		"evicted from the engine and stored": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1", 0, 1)
		}, storeA, netip.AddrPort{}},
		"cached at the engine": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1", 0, 1)
			reportCache(p, "e00", 0, *s, "1", 2)
		}, netip.AddrPort{}, netip.AddrPort{}},
		"first part at the engine, second stored": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1", 1)
			reportCache(p, "e00", 0, *s, "1", 1)
		}, storeA, netip.AddrPort{}},
		"only the first part stored": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1", 0)
		}, storeA, storeA},
		"stored under other weights": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "2", 0, 1)
		}, netip.AddrPort{}, storeA},
		"stored for another workspace": {func(p *Placement, s *boragewick.Selection) {
			other := *s
			other.CacheScope = "other"
			reportStored(p, storeA, other, "1", 0, 1)
		}, netip.AddrPort{}, storeA},
		"store down": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1", 0, 1)
			p.ObserveStore(storeA, &boragewick.EngineUpdate{Down: true})
		}, netip.AddrPort{}, netip.AddrPort{}},
		"store restarted": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1", 0, 1)
			p.ObserveStore(storeA, &boragewick.EngineUpdate{Reset: true})
		}, netip.AddrPort{}, storeA},
		"nothing is known of the store": {func(*Placement, *boragewick.Selection) {
		}, netip.AddrPort{}, netip.AddrPort{}},
		"evicted from the store": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1", 0, 1)
			u := &boragewick.EngineUpdate{}
			for _, part := range s.Prefix[:2] {
				u.Parts = append(u.Parts, boragewick.CachedPart{Key: boragewick.CachedPartKey("s.1", part.ID)})
			}
			p.ObserveStore(storeA, u)
		}, netip.AddrPort{}, storeA},
		"short prompt": {func(p *Placement, s *boragewick.Selection) {
			s.Prefix = []boragewick.PromptPart{{ID: "sheet", Tokens: 120}, {ID: "session", Tokens: 80}, {ID: "own", Tokens: 600}}
			reportStored(p, storeA, *s, "1", 0, 1)
		}, netip.AddrPort{}, netip.AddrPort{}},
		"just prefilled for another router's request": {func(p *Placement, s *boragewick.Selection) {
			reportStored(p, storeA, *s, "1")
			p.Update(boragewick.EndpointChange{Endpoint: engine(1, "1")})
			reportCache(p, "e00", 0, *s, "1", 0)
			reportCache(p, "e01", 50, *s, "1", 2)
			p.Update(boragewick.EndpointChange{Endpoint: engine(1, "1"), Removed: true})
		}, netip.AddrPort{}, netip.AddrPort{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPlacement(1)
			s := selection("sheet", "session", "own")
			s.Stores = []netip.AddrPort{storeA}
			reportCache(p, "e00", 0, s, "1", 0)
			test.set(p, &s)
			c := bestCandidate(t, p, s)
			if c.Source != test.source || c.SaveTo != test.saveTo || c.Endpoint.Agent != agent {
				t.Errorf("fetches from %s and stores at %s, want %s and %s", c.Source, c.SaveTo, test.source, test.saveTo)
			}
		})
	}
}

// TestPrefersEngineOverStore covers a part that an engine has cached and a store
// has, too: engines have links of their own, and the store's link is shared.
func TestPrefersEngineOverStore(t *testing.T) {
	p, _ := newPlacement(2)
	s := selection("sheet", "session", "own")
	s.Stores = []netip.AddrPort{storeA}
	reportStored(p, storeA, s, "1", 0, 1)
	reportCache(p, "e00", 0, s, "1", 0)
	reportCache(p, "e01", 50, s, "1", 2)
	if c := bestCandidate(t, p, s); c.Source != engine(1, "1").Agent {
		t.Errorf("%s fetches from %s", c.Endpoint.Name, c.Source)
	}
}

// TestMissingPartIsStoredAgain covers a store whose link is busy: a part that the
// store hasn't received some time after its prefill is sent again with the next
// prefill.
func TestMissingPartIsStoredAgain(t *testing.T) {
	p, c := newPlacement(1)
	s := selection("sheet", "session", "own")
	s.Stores = []netip.AddrPort{storeA}
	reportCache(p, "e00", 0, s, "1", 0)
	reportStored(p, storeA, s, "1")
	first := bestCandidate(t, p, s)
	f := p.Begin(&first, &s)
	f.Started()
	f.End()
	c.now = c.now.Add(storeEventLag / 2)
	if again := bestCandidate(t, p, s); again.SaveTo.IsValid() {
		t.Error("sent again while the first copy may be in transit")
	}
	c.now = c.now.Add(storeEventLag)
	if again := bestCandidate(t, p, s); again.SaveTo != storeA {
		t.Errorf("stored at %s", again.SaveTo)
	}
}

// TestPromptsSpreadAcrossStores covers several stores: all routers store a prompt at
// the same one, and a store that is down doesn't affect the others.
func TestPromptsSpreadAcrossStores(t *testing.T) {
	counts := map[netip.AddrPort]int{}
	for i := range 200 {
		p, _ := newPlacement(1)
		s := selection("sheet", fmt.Sprint("session", i), "own")
		s.Stores = []netip.AddrPort{storeA, storeB}
		reportCache(p, "e00", 0, s, "1", 0)
		reportStored(p, storeA, s, "1")
		reportStored(p, storeB, s, "1")
		saveTo := bestCandidate(t, p, s).SaveTo
		counts[saveTo]++
		p.ObserveStore(saveTo, &boragewick.EngineUpdate{Down: true})
		if other := bestCandidate(t, p, s).SaveTo; !other.IsValid() || other == saveTo {
			t.Fatalf("prompt %d is stored at %s, which is down", i, other)
		}
	}
	if counts[storeA] < 70 || counts[storeB] < 70 {
		t.Errorf("shares of the stores: %v", counts)
	}
}
