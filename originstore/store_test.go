package originstore

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestStore guards against origins that are forgotten too early, kept without bound, or
// believed though two are told.
func TestStore(t *testing.T) {
	var s Store
	now := time.Unix(1000, 0)
	if s.Get(1, now) != 0 {
		t.Error("an empty store knows an origin")
	}
	s.Put(boragewick.StreamOrigin{Key: 1, Build: 5}, now)
	s.Put(boragewick.StreamOrigin{Key: 1, Build: 5}, now)
	if b := s.Get(1, now.Add(retention-time.Second)); b != 5 {
		t.Errorf("build %s within the retention time", b)
	}
	if b := s.Get(1, now.Add(3*retention)); b != 0 {
		t.Errorf("build %s long after it", b)
	}
	now = now.Add(4 * retention)
	s.Put(boragewick.StreamOrigin{Key: 2, Build: 5}, now)
	s.Put(boragewick.StreamOrigin{Key: 2, Build: 6}, now)
	s.Put(boragewick.StreamOrigin{Key: 2, Build: 5}, now)
	if b := s.Get(2, now); b != 0 {
		t.Errorf("build %s of a stream with two origins", b)
	}
	for key := range boragewick.StreamKey(3 * maxOrigins) {
		s.Put(boragewick.StreamOrigin{Key: key + 10, Build: 5}, now)
	}
	if n := len(s.current) + len(s.previous); n > 2*maxOrigins {
		t.Errorf("%d origins are kept", n)
	}
}
