package hosting

import (
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/shutdown"
)

const (
	// lingerFor is how long a stopping router still accepts connections. The
	// load balancer in front of the routers checks readiness once a second and
	// stops sending to a router after two failed checks.
	lingerFor = 2500 * time.Millisecond
	// lingerDivisor limits the linger time to a part of the grace period.
	lingerDivisor = 3
	// answerTime is how long requests that still run at the end of the drain get to
	// be answered. Responses that have begun go on until abortTime before its end.
	answerTime = 350 * time.Millisecond
	abortTime  = 100 * time.Millisecond
	// exitMargin is what is left of the grace period for the process to exit. With a tenth of a
	// core, the end of 300 streams took until 0.06 s before SIGKILL in a trial.
	exitMargin = 250 * time.Millisecond
	// lateDrainDivisor divides exitMargin among the drains of operators' calls, of the
	// streams of links and of their connections and the hand-over of leadership, with twice as
	// much left for the exit itself.
	lateDrainDivisor = 6
)

// drainTimes are the times of a router's shutdown, after its beginning.
type drainTimes struct {
	// linger is until when connections are accepted, and drain until when requests without an
	// answer run. begun is until when responses that have begun may go on.
	linger, drain, begun time.Duration
}

// drainTimes returns the times that the grace period allows.
func (n *Node) drainTimes() drainTimes {
	linger := min(lingerFor, n.Settings.Grace/lingerDivisor)
	drain := max(linger, n.Settings.Grace-answerTime-exitMargin)
	return drainTimes{linger: linger, drain: drain, begun: drain + answerTime - abortTime}
}

// drainPolicy returns the policy by which requests are accepted while the router stops.
func (n *Node) drainPolicy() *shutdown.Policy {
	n.shutdown.Clock, n.shutdown.Logger, n.shutdown.Metrics = n.clock, n.Logger, n.metrics
	return &n.shutdown
}

// lateDrain returns how long a server drains that stops after the server for callers, which may
// have left only exitMargin for four such drains and the rest.
func (n *Node) lateDrain(d time.Duration) time.Duration {
	if n.Settings.Callers {
		return min(d, exitMargin/lateDrainDivisor)
	}
	return d
}

// stopAccepting makes the router answer that it isn't ready and refuse what can't end in time.
func (n *Node) stopAccepting() {
	now := n.clock.Now()
	t := n.drainTimes()
	n.shutdown.Stop(now.Add(t.begun))
	n.draining.Store(true)
}

// callerServer returns the server for callers.
func (n *Node) callerServer(h http.Handler) *httpserver.Server {
	t := n.drainTimes()
	return &httpserver.Server{
		Handler:       h,
		LingerTime:    t.linger,
		DrainTimeout:  t.drain - t.linger,
		BegunTime:     t.begun - t.drain,
		AnswerTime:    answerTime,
		UnreadTimeout: unreadTimeout,
		OnCut: func(unanswered, begun int) {
			metrics.GetOrRegisterCounter("requests.cut_stopping", n.metrics).Inc(int64(unanswered + begun))
			_ = level.Error(n.Logger).Log("msg", "requests cut at the end of the grace period", "unanswered", unanswered, "begun", begun)
		},
		OnUnread: func(remote net.Addr, timeout time.Duration) {
			metrics.GetOrRegisterCounter("callers.cut_off", n.metrics).Inc(1)
			_ = level.Warn(n.Logger).Log("msg", "caller cut off that does not read", "addr", remote, "timeout_ms", timeout.Milliseconds())
		},
	}
}

// serveReadiness answers whether the router takes new connections.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if n.draining.Load() || n.mirror.View() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
