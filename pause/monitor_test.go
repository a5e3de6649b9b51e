package pause

import (
	"context"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/boottime"
)

// TestMonitor guards against updates that a process received before it stood still, or that waited
// for it meanwhile, and that are taken for news.
func TestMonitor(t *testing.T) {
	tests := map[string]struct {
		// gaps are those between looks at the clock.
		gaps []time.Duration
		// received is the time between the last look and the arrival, and asked that between
		// the arrival and the question.
		received, asked time.Duration
		want            bool
	}{
		"no pause":           {[]time.Duration{checkInterval}, checkInterval, checkInterval, true},
		"late looks":         {[]time.Duration{minPause - 1, minPause - 1}, 0, minPause - 1, true},
		"before a pause":     {[]time.Duration{checkInterval}, 0, minPause, false},
		"just after a pause": {[]time.Duration{minPause}, 0, 0, false},
		"read from a buffer": {[]time.Duration{minPause, settleTime / 2, settleTime/2 - 1}, 0, 0, false},
		"after a pause":      {[]time.Duration{minPause, settleTime / 2, settleTime / 2}, 0, 0, true},
		"after two pauses":   {[]time.Duration{minPause, settleTime, settleTime / 2}, 0, 0, false},
		"long after a pause": {[]time.Duration{time.Minute, settleTime / 2, settleTime / 2, checkInterval}, 0, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := &Monitor{Clock: boragewick.ClockFunc(func() time.Time { return now })}
			m.start()
			for _, gap := range test.gaps {
				now = now.Add(gap)
				m.mu.Lock()
				m.check()
				m.mu.Unlock()
			}
			at := now.Add(test.received)
			now = at.Add(test.asked)
			if got := m.IsSinceResume(at); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

// TestMonitorThatDoesNotRun guards against a process that distrusts all that it knows as its
// Monitor hasn't started yet or has been stopped before the requests in flight have ended.
func TestMonitorThatDoesNotRun(t *testing.T) {
	var m Monitor
	if !m.IsSinceResume(time.Time{}) {
		t.Error("a pause was noticed before the start")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := m.Run(ctx); err != nil {
		t.Fatal(err)
	}
	now := boottime.Clock{}.Now()
	m.Clock = boragewick.ClockFunc(func() time.Time { return now.Add(time.Minute) })
	if !m.IsSinceResume(now) {
		t.Error("a pause was noticed after the stop")
	}
}
