// Package originstore remembers for some time where streams began.
package originstore

import (
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// retention is how long an origin is kept at least, and twice that at most.
	retention = time.Minute
	// maxOrigins bounds the origins of one retention time.
	maxOrigins = 1 << 19
	// conflicting is the build of streams that are said to have begun at several.
	conflicting = ^boragewick.Build(0)
)

// Store holds the origins of streams. The zero value is empty. It is safe for concurrent
// use.
type Store struct {
	mu sync.Mutex
	// current and previous are the origins of this and the last retention time, which
	// ends at swapAt.
	current, previous map[boragewick.StreamKey]boragewick.Build
	swapAt            time.Time
}

// Put records an origin. A stream that has another one already counts as unknown.
func (s *Store) Put(o boragewick.StreamOrigin, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if known := s.build(o.Key); known != 0 && known != o.Build {
		o.Build = conflicting
	}
	s.current[o.Key] = o.Build
}

// Get returns where the stream began; zero if unknown.
func (s *Store) Get(key boragewick.StreamKey, now time.Time) boragewick.Build {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if b := s.build(key); b != conflicting {
		return b
	}
	return 0
}

// build returns the recorded build; the caller holds mu.
func (s *Store) build(key boragewick.StreamKey) boragewick.Build {
	if b, ok := s.current[key]; ok {
		return b
	}
	return s.previous[key]
}

// expire forgets the origins that are too old, and the older ones if there are too many;
// the caller holds mu.
func (s *Store) expire(now time.Time) {
	if s.current != nil && now.Before(s.swapAt) && len(s.current) < maxOrigins {
		return
	}
	s.previous = s.current
	if now.Sub(s.swapAt) >= retention {
		s.previous = nil
	}
	s.current = map[boragewick.StreamKey]boragewick.Build{}
	s.swapAt = now.Add(retention)
}
