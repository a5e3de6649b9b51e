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

// keeps has the store tell that it keeps some parts of the prompt, of the weights.
func keeps(p *Placement, store netip.AddrPort, s boragewick.Selection, weights string, parts ...int) {
	u := &boragewick.EngineUpdate{}
	for _, i := range parts {
		u.Parts = append(u.Parts, boragewick.CachedPart{
			Key: boragewick.CachedPartKey(s.CacheScope+"."+weights, s.Prefix[i].ID), Tokens: s.Prefix[i].Tokens,
		})
	}
	p.ObserveStore(store, u)
}

// TestStore is the pattern of more prompts than the engines have memory for: what
// one engine has read is kept and fetched when no engine has it any more.
func TestStore(t *testing.T) {
	agent := engine(0, "1").Agent
	tests := map[string]struct {
		set          func(p *Placement, s *boragewick.Selection)
		source, keep netip.AddrPort
	}{
		"read for the first time": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1")
		}, netip.AddrPort{}, storeA},
		"evicted and kept": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1", 0, 1)
		}, storeA, netip.AddrPort{}},
		"cached at the engine": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1", 0, 1)
			tell(p, "e00", 0, *s, "1", 2)
		}, netip.AddrPort{}, netip.AddrPort{}},
		"the first part at the engine, the second kept": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1", 1)
			tell(p, "e00", 0, *s, "1", 1)
		}, storeA, netip.AddrPort{}},
		"only the first part kept": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1", 0)
		}, storeA, storeA},
		"kept under other weights": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "2", 0, 1)
		}, netip.AddrPort{}, storeA},
		"kept for another workspace": {func(p *Placement, s *boragewick.Selection) {
			other := *s
			other.CacheScope = "other"
			keeps(p, storeA, other, "1", 0, 1)
		}, netip.AddrPort{}, storeA},
		"store down": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1", 0, 1)
			p.ObserveStore(storeA, &boragewick.EngineUpdate{Down: true})
		}, netip.AddrPort{}, netip.AddrPort{}},
		"store restarted": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1", 0, 1)
			p.ObserveStore(storeA, &boragewick.EngineUpdate{Reset: true})
		}, netip.AddrPort{}, storeA},
		"nothing is told of the store": {func(*Placement, *boragewick.Selection) {
		}, netip.AddrPort{}, netip.AddrPort{}},
		"evicted from the store": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1", 0, 1)
			u := &boragewick.EngineUpdate{}
			for _, part := range s.Prefix[:2] {
				u.Parts = append(u.Parts, boragewick.CachedPart{Key: boragewick.CachedPartKey("s.1", part.ID)})
			}
			p.ObserveStore(storeA, u)
		}, netip.AddrPort{}, storeA},
		"short prompt": {func(p *Placement, s *boragewick.Selection) {
			s.Prefix = []boragewick.PromptPart{{ID: "sheet", Tokens: 120}, {ID: "session", Tokens: 80}, {ID: "own", Tokens: 600}}
			keeps(p, storeA, *s, "1", 0, 1)
		}, netip.AddrPort{}, netip.AddrPort{}},
		"just read by another router's request": {func(p *Placement, s *boragewick.Selection) {
			keeps(p, storeA, *s, "1")
			p.Update(boragewick.EndpointChange{Endpoint: engine(1, "1")})
			tell(p, "e00", 0, *s, "1", 0)
			tell(p, "e01", 50, *s, "1", 2)
			p.Update(boragewick.EndpointChange{Endpoint: engine(1, "1"), Removed: true})
		}, netip.AddrPort{}, netip.AddrPort{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := fleet(1)
			s := prompt("sheet", "session", "own")
			s.Stores = []netip.AddrPort{storeA}
			tell(p, "e00", 0, s, "1", 0)
			test.set(p, &s)
			c := choose(t, p, s)
			if c.Source != test.source || c.Keep != test.keep || c.Endpoint.Agent != agent {
				t.Errorf("fetches from %s and keeps at %s, want %s and %s", c.Source, c.Keep, test.source, test.keep)
			}
		})
	}
}

// TestEngineBeforeStore is the pattern of a part that is cached and kept: engines
// have links of their own, and the store's is shared.
func TestEngineBeforeStore(t *testing.T) {
	p, _ := fleet(2)
	s := prompt("sheet", "session", "own")
	s.Stores = []netip.AddrPort{storeA}
	keeps(p, storeA, s, "1", 0, 1)
	tell(p, "e00", 0, s, "1", 0)
	tell(p, "e01", 50, s, "1", 2)
	if c := choose(t, p, s); c.Source != engine(1, "1").Agent {
		t.Errorf("%s fetches from %s", c.Endpoint.Name, c.Source)
	}
}

// TestUnsentPartIsKeptAgain is the pattern of a store whose link is busy: what it
// hasn't got some time after it was read is sent again with the next reading.
func TestUnsentPartIsKeptAgain(t *testing.T) {
	p, c := fleet(1)
	s := prompt("sheet", "session", "own")
	s.Stores = []netip.AddrPort{storeA}
	tell(p, "e00", 0, s, "1", 0)
	keeps(p, storeA, s, "1")
	first := choose(t, p, s)
	f := p.Begin(&first, &s)
	f.Started()
	f.End()
	c.now = c.now.Add(keepLag / 2)
	if again := choose(t, p, s); again.Keep.IsValid() {
		t.Error("sent twice while the first copy may be on its way")
	}
	c.now = c.now.Add(keepLag)
	if again := choose(t, p, s); again.Keep != storeA {
		t.Errorf("kept at %s", again.Keep)
	}
}

// TestStoresShareThePrompts is the pattern of several stores: all routers keep a
// prompt at the same one, and a store that is down takes no others with it.
func TestStoresShareThePrompts(t *testing.T) {
	counts := map[netip.AddrPort]int{}
	for i := range 200 {
		p, _ := fleet(1)
		s := prompt("sheet", fmt.Sprint("session", i), "own")
		s.Stores = []netip.AddrPort{storeA, storeB}
		tell(p, "e00", 0, s, "1", 0)
		keeps(p, storeA, s, "1")
		keeps(p, storeB, s, "1")
		keep := choose(t, p, s).Keep
		counts[keep]++
		p.ObserveStore(keep, &boragewick.EngineUpdate{Down: true})
		if other := choose(t, p, s).Keep; !other.IsValid() || other == keep {
			t.Fatalf("prompt %d is kept at %s, which is down", i, other)
		}
	}
	if counts[storeA] < 70 || counts[storeB] < 70 {
		t.Errorf("shares of the stores: %v", counts)
	}
}
