package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/boragewick/boragewick"
)

// deadAfter is how long an endpoint that its agent can't reach may send nothing
// before the router gives the connection up too.
const deadAfter = 300 * time.Millisecond

// guard ends an attempt at an endpoint that is down and silent. A connection to a
// machine without power would hang for seconds.
type guard struct {
	begun time.Time
	// heard is when the endpoint sent something last, in nanoseconds from begun.
	heard atomic.Int64
}

// touch notes that the endpoint has sent something.
func (g *guard) touch() { g.heard.Store(int64(time.Since(g.begun))) }

// watch calls cancel once the endpoint is down and silent, unless ctx is done.
func (g *guard) watch(ctx context.Context, cancel context.CancelFunc, flight boragewick.Flight) {
	select {
	case <-flight.Lost():
	case <-ctx.Done():
		return
	}
	for {
		quiet := time.Since(g.begun) - time.Duration(g.heard.Load())
		if quiet >= deadAfter {
			cancel()
			return
		}
		timer := time.NewTimer(deadAfter - quiet)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}
