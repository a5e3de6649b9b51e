package boragewick

import "time"

// PauseMonitor notices that the process stood still.
type PauseMonitor interface {
	// IsSinceResume reports whether what was received at the instant was sent after the process
	// last stood still. What arrives shortly after that may have waited for it.
	IsSinceResume(at time.Time) bool
}
