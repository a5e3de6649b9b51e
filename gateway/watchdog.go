package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragewick/boragewick"
)

// silenceTimeout is how long an endpoint that its agent can't reach may send
// nothing before the router closes its own connection to it.
const silenceTimeout = 300 * time.Millisecond

// watchdog cancels an attempt at an endpoint that its agent reports as lost and
// that sends nothing. Without it, a connection to a machine that lost power would
// hang for seconds.
type watchdog struct {
	startedAt time.Time
	// lastReceived is when data last arrived from the endpoint, in nanoseconds
	// since startedAt.
	lastReceived atomic.Int64
}

// touch records that data has arrived from the endpoint.
func (w *watchdog) touch() { w.lastReceived.Store(int64(time.Since(w.startedAt))) }

// watch calls cancel once the endpoint is lost and has sent nothing for
// silenceTimeout. It returns early when ctx is done.
func (w *watchdog) watch(ctx context.Context, cancel context.CancelFunc, flight boragewick.Flight) {
	select {
	case <-flight.Lost():
	case <-ctx.Done():
		return
	}
	for {
		silent := time.Since(w.startedAt) - time.Duration(w.lastReceived.Load())
		if silent >= silenceTimeout {
			cancel()
			return
		}
		timer := time.NewTimer(silenceTimeout - silent)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}
