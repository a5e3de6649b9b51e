package gateway

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

// errWeightsExpired means that a request was withdrawn from an endpoint before it had
// begun, because the endpoint's weights had become too old.
var errWeightsExpired = errors.New("weights expired before the run began")

// weightsAge returns how long ago a version newer than the candidate's weights was
// named; zero if there is none. Weights that are not known count as older than all.
func (x *exchange) weightsAge(c *boragewick.Candidate) time.Duration {
	var version uint64
	if v, err := strconv.ParseUint(c.Weights, 10, 64); err == nil {
		version = v
	}
	at := x.View().SupersededAt(x.Model, version)
	if at.IsZero() {
		return 0
	}
	return x.Clock.Now().Sub(at)
}

// recordStart adds the age of the weights on which a run has begun to the metrics, if
// they are not the newest, and logs a run on weights that were superseded more than
// WeightsGracePeriod ago.
func (x *exchange) recordStart(c *boragewick.Candidate) {
	age := x.weightsAge(c)
	if age <= 0 {
		return
	}
	if x.Metrics != nil {
		metrics.GetOrRegisterTimer("weights.age_at_start", x.Metrics).Update(age)
	}
	if age <= x.WeightsGracePeriod {
		return
	}
	x.count("weights.expired_starts")
	ageWhenSent := age - x.Clock.Now().Sub(x.sentAt)
	_ = level.Warn(x.Logger).Log("msg", "run began on expired weights", "id", x.ID, "endpoint", c.Endpoint.Name, "weights", c.Weights,
		"newest", x.View().Weights[x.Model], "age_ms", age.Milliseconds(), "age_when_sent_ms", ageWhenSent.Milliseconds(), "sent", x.sent)
}

// startLimit returns the function that tells the watchdog how long the run may still
// begin on the candidate's weights. It is nil without a bound, and for responses that
// are no streams, as these don't show when their run has begun.
func (x *exchange) startLimit(c *boragewick.Candidate) func() time.Duration {
	if x.WeightsGracePeriod <= 0 || x.route.Kind != boragewick.Streaming {
		return nil
	}
	allowed := time.Duration(float64(x.WeightsGracePeriod) * withdrawFraction)
	return func() time.Duration { return allowed - x.weightsAge(c) }
}

// weightsFields returns log fields with what is known of the weights that the run of the leg
// was sent for.
func (x *exchange) weightsFields(l *leg) []any {
	r := l.flight.WeightsReport()
	age := int64(-1)
	if !r.At.IsZero() {
		age = x.Clock.Now().Sub(r.At).Milliseconds()
	}
	return []any{"weights", l.c.Weights, "reported", r.Version, "busy", r.Busy, "report_age_ms", age, "newest", x.View().Weights[x.Model], "view_current", x.ViewCurrent()}
}
