package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// silenceTimeout is how long an endpoint that its agent can't reach may send
	// nothing before the router closes its own connection to it.
	silenceTimeout = 300 * time.Millisecond
	// finalSilenceTimeout is the same for a request that can't go on elsewhere. The
	// endpoint may only have stalled, and the request would be lost.
	finalSilenceTimeout = 1500 * time.Millisecond
	// expiryCheckInterval is the longest time between two checks of the age of the
	// weights on which a request is to begin.
	expiryCheckInterval = 500 * time.Millisecond
)

// watchdog cancels an attempt at an endpoint that its agent reports as lost and
// that sends nothing. Without it, a connection to a machine that lost power would
// hang for seconds. It also cancels an attempt that has not begun when the weights
// of its endpoint expire.
type watchdog struct {
	startedAt time.Time
	// canGoOn reports whether another endpoint may go on with the request.
	canGoOn bool
	// untilExpiry returns how long a run may still begin on the endpoint's weights. It
	// is nil if that is not limited.
	untilExpiry func() time.Duration
	// lastReceived is when data last arrived from the endpoint, in nanoseconds
	// since startedAt.
	lastReceived atomic.Int64
}

// touch records that data has arrived from the endpoint.
func (w *watchdog) touch() { w.lastReceived.Store(int64(time.Since(w.startedAt))) }

// watch calls cancel once the endpoint is lost and has sent nothing for the timeout, or
// once its weights have expired before it has sent anything. It returns early when ctx is
// done.
func (w *watchdog) watch(ctx context.Context, cancel context.CancelCauseFunc, flight boragewick.Flight) {
	timeout := finalSilenceTimeout
	if w.canGoOn {
		timeout = silenceTimeout
	}
	for w.waitUntilLost(ctx, cancel, flight) {
		silent := time.Since(w.startedAt) - time.Duration(w.lastReceived.Load())
		if silent >= timeout {
			cancel(nil)
			return
		}
		timer := time.NewTimer(timeout - silent)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// waitUntilLost waits until the endpoint is lost. It returns false when ctx is done or
// the weights have expired.
func (w *watchdog) waitUntilLost(ctx context.Context, cancel context.CancelCauseFunc, flight boragewick.Flight) bool {
	var check <-chan time.Time
	for {
		if w.untilExpiry != nil && w.lastReceived.Load() == 0 {
			wait := w.untilExpiry()
			if wait <= 0 {
				cancel(errWeightsExpired)
				return false
			}
			// A naming may become known late, with its age.
			check = time.After(min(wait, expiryCheckInterval))
		}
		select {
		case <-flight.Lost():
			return true
		case <-ctx.Done():
			return false
		case <-check:
		}
	}
}
