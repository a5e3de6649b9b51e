package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// silenceTimeout is how long an endpoint that its agent can't reach may send
	// nothing before the router closes its own connection to it. Requests that wait or are
	// prefilled get nothing for longer, so the agent must also have missed it without a
	// break for outagePeriod: agents on busy machines miss their engines for a moment.
	silenceTimeout = 300 * time.Millisecond
	outagePeriod   = 150 * time.Millisecond
	// finalSilenceTimeout is both times for a request that can't go on elsewhere. The
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
	// backup reports whether another endpoint has a copy of the run and may go on with it once
	// there is an event.
	backup bool
	// mixed reports whether that copy may be of no use, as the endpoint has changed its weights
	// under the run; nil means that it is not.
	mixed func() bool
	// untilExpiry returns how long a run may still begin on the endpoint's weights. It
	// is nil if that is not limited.
	untilExpiry func() time.Duration
	// takeRetry takes the retry with which another endpoint goes on, and returns when it may
	// start. It reports false if none is left. nil means that none is needed.
	takeRetry func() (time.Time, bool)
	// retryAt is when the retry that was taken may start; nil if none was.
	retryAt atomic.Pointer[time.Time]
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
	for {
		outage := w.waitUntilLost(ctx, cancel, flight)
		if outage == nil {
			return
		}
		lostAt := time.Now()
		// Lost returns another channel once the agent has reached the endpoint again.
		for flight.Lost() == outage {
			end, wait := w.mustEnd(lostAt)
			if end {
				cancel(nil)
				return
			}
			// The first data may arrive meanwhile, with which a backup becomes useful.
			timer := time.NewTimer(min(wait, silenceTimeout))
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return
			}
		}
	}
}

// mustEnd reports whether the attempt at the endpoint, which is lost since lostAt, must end,
// and otherwise for how long it need not. An attempt that could go on elsewhere is not ended
// early if no retry is left, as the request would be lost.
func (w *watchdog) mustEnd(lostAt time.Time) (end bool, wait time.Duration) {
	final := w.timeLeft(lostAt, finalSilenceTimeout, finalSilenceTimeout)
	recoverable := w.backup && w.lastReceived.Load() > 0 && (w.mixed == nil || !w.mixed())
	if final <= 0 || !w.canGoOn && !recoverable {
		return final <= 0, final
	}
	if early := w.timeLeft(lostAt, silenceTimeout, outagePeriod); early > 0 {
		return false, early
	}
	return recoverable || w.takesRetry(), final
}

// timeLeft returns how long it takes until the endpoint has sent nothing for silence and has
// been lost for outage.
func (w *watchdog) timeLeft(lostAt time.Time, silence, outage time.Duration) time.Duration {
	silent := time.Since(w.startedAt) - time.Duration(w.lastReceived.Load())
	return max(silence-silent, outage-time.Since(lostAt))
}

// takesRetry takes a retry and reports whether there was one.
func (w *watchdog) takesRetry() bool {
	if w.takeRetry == nil {
		return true
	}
	at, ok := w.takeRetry()
	if ok {
		w.retryAt.Store(&at)
	}
	return ok
}

// waitUntilLost waits until the endpoint is lost and returns the channel that tells so. It
// returns nil when ctx is done or the weights have expired.
func (w *watchdog) waitUntilLost(ctx context.Context, cancel context.CancelCauseFunc, flight boragewick.Flight) <-chan struct{} {
	var check <-chan time.Time
	for {
		if w.untilExpiry != nil && w.lastReceived.Load() == 0 {
			wait := w.untilExpiry()
			if wait <= 0 {
				cancel(errWeightsExpired)
				return nil
			}
			// A naming may become known late, with its age.
			check = time.After(min(wait, expiryCheckInterval))
		}
		lost := flight.Lost()
		select {
		case <-lost:
			return lost
		case <-ctx.Done():
			return nil
		case <-check:
		}
	}
}
