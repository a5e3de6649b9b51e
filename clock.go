package boragewick

import (
	"context"
	"time"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// ClockFunc adapts a function to a Clock.
type ClockFunc func() time.Time

// Now returns f().
func (f ClockFunc) Now() time.Time { return f() }

// SystemClock is the system clock of the instance.
var SystemClock Clock = ClockFunc(time.Now)

// Sleep waits for the duration or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
