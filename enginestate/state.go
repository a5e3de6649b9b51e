// Package enginestate holds the state of an engine as a series of updates describes
// it, and derives from it the updates for those who follow the engine.
package enginestate

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// minInterval is the minimum time between updates to a follower.
	// intervalPerFollower is added for each follower, because every router reads the
	// updates of all engines.
	minInterval         = 20 * time.Millisecond
	intervalPerFollower = 500 * time.Microsecond
	// maxEvictedParts is the number of evicted parts that are remembered beside the
	// cached ones. If there are more, all are forgotten and followers get the full
	// state.
	maxEvictedParts = 1024
	// maxParts is the number of parts that are remembered. If there are more, all are
	// forgotten.
	maxParts = 1 << 18
	// maxUpdateParts is the number of parts in one update. Further ones follow with the
	// next update.
	maxUpdateParts = 1 << 13
)

// Interval returns the minimum time between two updates to each of the followers.
func Interval(followers int) time.Duration {
	return minInterval + time.Duration(followers)*intervalPerFollower
}

// State is the newest state of an engine. The zero value is an idle engine with an
// empty cache. It is safe for concurrent use.
type State struct {
	mu sync.Mutex
	// load is the last update without Reset and Parts.
	load  boragewick.EngineUpdate
	parts map[uint64]part
	// evicted is the number of parts without tokens.
	evicted int
	// resets counts the times at which the cache was emptied, partChanges the changed
	// parts, orderChanges those that followers with Cursor.OrdersOnly must receive, and
	// changes all changes that other followers must receive.
	resets, partChanges, orderChanges, changes uint64
	changed                                    chan struct{}
}

// part is a part of a prompt with the number of its last change.
type part struct {
	tokens    int
	changedAt uint64
}

// Cursor is the point up to which a follower has the state; the zero value is
// before the start.
type Cursor struct {
	// OrdersOnly leaves out parts, and changes that don't concern orders, as described at
	// boragewick.WatchRequest.
	OrdersOnly bool

	resets, partChanges, orderChanges, changes uint64
}

// Apply applies an update.
func (s *State) Apply(u *boragewick.EngineUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := *u
	load.Reset, load.Parts = false, nil
	if len(u.Weights) == 0 {
		load.Weights, load.Busy, load.Orders, load.Started = s.load.Weights, s.load.Busy, s.load.Orders, s.load.Started
	}
	s.setLoad(load)
	if u.Reset {
		s.reset()
	}
	s.addParts(u.Parts)
}

// SetLoad replaces the load, the versions and the progress of orders.
func (s *State) SetLoad(r *boragewick.EngineReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLoad(boragewick.EngineUpdate{
		Queued: r.Queued, Active: r.Active, Prefilling: r.Prefilling,
		Used: r.Used, Total: r.Total,
		Down:    s.load.Down,
		Weights: r.Weights, Busy: r.Busy, Orders: r.Orders, Started: r.Started,
	})
}

// setLoad replaces the load and counts the change, if followers must receive it; the
// caller holds mu.
func (s *State) setLoad(next boragewick.EngineUpdate) {
	old := s.load
	s.load = next
	ordersChanged := next.Down != old.Down || next.Busy != old.Busy || next.Orders != old.Orders || next.Started != old.Started ||
		isIdle(&next) != isIdle(&old) || !maps.Equal(next.Weights, old.Weights)
	if ordersChanged {
		s.orderChanges++
	}
	if ordersChanged || next.Queued != old.Queued || next.Active != old.Active || next.Prefilling != old.Prefilling {
		s.notify()
	}
}

// isIdle reports whether the engine holds no requests.
func isIdle(u *boragewick.EngineUpdate) bool { return u.Active+u.Queued == 0 }

// SetDown records whether the engine can't be reached, and reports whether that is a
// change.
func (s *State) SetDown(down bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.Down == down {
		return false
	}
	next := s.load
	next.Down = down
	s.setLoad(next)
	return true
}

// Reset empties the cache and forgets the versions of models and the progress of orders, as
// the engine has restarted or can't be followed any more.
func (s *State) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.load
	next.Weights, next.Busy, next.Orders, next.Started = nil, false, 0, 0
	s.setLoad(next)
	s.reset()
}

// AddParts records parts that have changed.
func (s *State) AddParts(parts []boragewick.CachedPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addParts(parts)
}

// Next returns what has changed since the cursor, which it advances, and reports
// whether anything has. The load is always included, and versions and orders if anything
// that concerns orders has changed. Of many changed parts it returns the first
// maxUpdateParts and leaves the cursor behind.
func (s *State) Next(c *Cursor) (boragewick.EngineUpdate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.load
	isNew := s.isBehind(c)
	if c.orderChanges == s.orderChanges {
		u.Weights, u.Busy, u.Orders, u.Started = nil, false, 0, 0
	}
	if c.OrdersOnly {
		c.orderChanges = s.orderChanges
		return u, isNew
	}
	if c.resets != s.resets {
		u.Reset = true
		c.partChanges = 0
	}
	rest := s.addChangedParts(&u, c)
	c.resets, c.orderChanges = s.resets, s.orderChanges
	if !rest {
		c.partChanges, c.changes = s.partChanges, s.changes
	}
	return u, isNew
}

// IsBehind reports whether the next update for the cursor tells something new.
func (s *State) IsBehind(c *Cursor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isBehind(c)
}

func (s *State) isBehind(c *Cursor) bool {
	if c.OrdersOnly {
		return c.orderChanges != s.orderChanges
	}
	return c.changes != s.changes || c.resets != s.resets
}

// addChangedParts adds the parts that have changed since the cursor, and reports whether
// there are more of them. The caller holds mu.
func (s *State) addChangedParts(u *boragewick.EngineUpdate, c *Cursor) (more bool) {
	if c.partChanges == s.partChanges {
		return false
	}
	type change struct {
		boragewick.CachedPart
		number uint64
	}
	var list []change
	for key, p := range s.parts {
		if p.changedAt > c.partChanges && (p.tokens > 0 || !u.Reset) {
			list = append(list, change{boragewick.CachedPart{Key: key, Tokens: p.tokens}, p.changedAt})
		}
	}
	if more = len(list) > maxUpdateParts; more {
		slices.SortFunc(list, func(a, b change) int { return cmp.Compare(a.number, b.number) })
		list = list[:maxUpdateParts]
		c.partChanges = list[maxUpdateParts-1].number
	}
	for _, part := range list {
		u.Parts = append(u.Parts, part.CachedPart)
	}
	return more
}

// Changed returns a channel that is closed on the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// reset empties the cache; the caller holds mu.
func (s *State) reset() {
	s.parts = map[uint64]part{}
	s.evicted = 0
	s.resets++
	s.notify()
}

// addParts records changed parts; the caller holds mu.
func (s *State) addParts(parts []boragewick.CachedPart) {
	if len(parts) == 0 {
		return
	}
	if s.parts == nil {
		s.parts = map[uint64]part{}
	}
	for _, p := range parts {
		if old, ok := s.parts[p.Key]; ok && old.tokens == 0 {
			s.evicted--
		}
		if p.Tokens == 0 {
			s.evicted++
		}
		s.partChanges++
		s.parts[p.Key] = part{p.Tokens, s.partChanges}
	}
	if len(s.parts) > maxParts {
		s.reset()
	} else if s.evicted > maxEvictedParts {
		maps.DeleteFunc(s.parts, func(_ uint64, p part) bool { return p.tokens == 0 })
		s.evicted = 0
		s.resets++
	}
	s.notify()
}

// notify counts a change and wakes those who wait for it; the caller holds mu.
func (s *State) notify() {
	s.changes++
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
