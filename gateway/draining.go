package gateway

import (
	"net/http"
	"time"

	"github.com/boragewick/boragewick"
)

// checkBeforeSend returns an error if the request must not be sent now.
func (x *exchange) checkBeforeSend() error {
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	return x.checkDraining()
}

// checkDraining returns an error if the router stops and the request, which has not run yet, is
// not certain to end in time. A repeatable request is accepted: it is short, and its caller can
// repeat it. So is a stream that its caller takes up, as it may have no further attempt.
func (x *exchange) checkDraining() error {
	if x.Draining == nil || x.mayHaveRun || x.route.Kind == boragewick.Repeatable || x.TakenUp || x.LastEvent != "" {
		return nil
	}
	if x.acceptedAt.IsZero() {
		x.acceptedAt = time.Now()
	}
	return x.Draining.Admit(&boragewick.DrainRequest{
		ID:               x.ID,
		Route:            x.route.Name,
		Stream:           x.route.Kind == boragewick.Streaming,
		OutputTokens:     x.OutputTokens,
		FirstEventWithin: x.route.AbandonedAfter,
		LongestPause:     x.route.TargetGap,
		Deadline:         x.Clock.Now().Add(time.Until(x.deadline)),
	})
}

// observeTimes records how long a complete answer took. A stream that was taken up is only a
// part of one.
func (x *exchange) observeTimes(s *relay, status int) {
	if x.acceptedAt.IsZero() || status >= http.StatusMultipleChoices || x.TakenUp || x.LastEvent != "" {
		return
	}
	times := boragewick.AnswerTimes{FirstEvent: time.Since(x.acceptedAt), OutputTokens: x.OutputTokens}
	if s.events > 0 {
		times.FirstEvent = s.firstAt.Sub(x.acceptedAt)
		times.Rest = s.lastAt.Sub(s.firstAt)
		times.Events = s.events
	}
	x.Draining.Observe(x.route.Name, &times)
}
