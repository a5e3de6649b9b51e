package mirror

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// resumedAt is a boragewick.PauseMonitor of a process that stood still until the instant.
type resumedAt time.Time

func (r resumedAt) IsSinceResume(at time.Time) bool { return !at.Before(time.Time(r)) }

// TestConnectedAfterPause guards against a router that takes what it knew before it stood still for
// the newest state, as its streams from the replicas have not ended.
func TestConnectedAfterPause(t *testing.T) {
	led, leaderless := &boragewick.WatchUpdate{Leader: r2}, &boragewick.WatchUpdate{}
	tests := map[string]struct {
		before, after *boragewick.WatchUpdate
		want          bool
	}{
		"nothing since":           {led, nil, false},
		"update since":            {led, led, true},
		"since, from one cut off": {led, leaderless, false},
		"first update since":      {nil, led, true},
		"no update ever":          {nil, nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, _, c := newMirror()
			if test.before != nil {
				m.merge(r1, test.before)
				if !m.Connected() {
					t.Error("not connected before the pause")
				}
			}
			c.now = c.now.Add(time.Second)
			m.Pauses = resumedAt(c.now)
			if test.after != nil {
				m.merge(r1, test.after)
			}
			if got := m.Connected(); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}
