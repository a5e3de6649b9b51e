// Package pause notices that the process stood still, as a stopped process or a suspended instance
// does, so that what it heard before isn't taken for news.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/boottime"
)

const (
	// checkInterval is how often the Monitor looks at the clock.
	checkInterval = 50 * time.Millisecond
	// minPause is the gap between two looks that counts as a pause. An engine takes longer to
	// load weights.
	minPause = 300 * time.Millisecond
	// settleTime is how long after a pause updates from before it may still be read. Processes
	// on the same machine, which stood still too, have caught up by then.
	settleTime = 500 * time.Millisecond
)

// Monitor is a boragewick.PauseMonitor that notices pauses while it runs. The zero value has
// noticed none.
type Monitor struct {
	// Clock counts while the instance is suspended; it defaults to boottime.Clock.
	Clock boragewick.Clock
	// Logger may be nil.
	Logger log.Logger

	mu sync.Mutex
	// seenAt is when the process was last seen to run; zero unless the Monitor runs.
	seenAt time.Time
	// settledAt is from when on what is received was sent after the last pause.
	settledAt time.Time
}

var _ boragewick.PauseMonitor = (*Monitor)(nil)

// Run notices pauses until ctx is done.
func (m *Monitor) Run(ctx context.Context) error {
	m.start()
	defer m.stop()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.mu.Lock()
			m.check()
			m.mu.Unlock()
		}
	}
}

// IsSinceResume implements boragewick.PauseMonitor. It doesn't wait for Run, which may be resumed
// later than its caller.
func (m *Monitor) IsSinceResume(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.check()
	return !at.Before(m.settledAt)
}

func (m *Monitor) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seenAt = m.now()
}

func (m *Monitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seenAt = time.Time{}
}

// check notices a pause that has ended; the caller holds mu.
func (m *Monitor) check() {
	if m.seenAt.IsZero() {
		return
	}
	now := m.now()
	gap := now.Sub(m.seenAt)
	m.seenAt = now
	if gap < minPause {
		return
	}
	m.settledAt = now.Add(settleTime)
	if m.Logger != nil {
		_ = level.Info(m.Logger).Log("msg", "process stood still", "gap_ms", gap.Milliseconds())
	}
}

func (m *Monitor) now() time.Time {
	if m.Clock == nil {
		return boottime.Clock{}.Now()
	}
	return m.Clock.Now()
}
