package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// limitWait is how long a request may wait for a share of an endpoint's limit before
	// another endpoint is chosen. resumeWait is the same for a run that can only go on at
	// that endpoint.
	limitWait  = 100 * time.Millisecond
	resumeWait = 500 * time.Millisecond
)

// errLimitReached means that the limit of the chosen endpoint leaves no room for the
// request now.
var errLimitReached = errors.New("limit of the endpoint reached")

// reserveLimit takes the request from the limit that the candidate's endpoint names. If
// there is no room it defers the endpoint and returns errLimitReached.
func (x *exchange) reserveLimit(ctx context.Context, c *boragewick.Candidate, wait time.Duration) (boragewick.Reservation, error) {
	if c.Limit == nil || x.EndpointLimits == nil {
		return unlimited{}, nil
	}
	now := x.Clock.Now()
	share, err := x.EndpointLimits.ReserveRequest(ctx, c.Endpoint.RunID(), *c.Limit, now.Add(min(wait, time.Until(x.deadline))))
	if err == nil {
		return share, nil
	}
	var until time.Time
	var retry *boragewick.RetryError
	if errors.As(err, &retry) {
		until = retry.At
	}
	x.Placer.Defer(c, until)
	x.count("limits.deferred")
	_ = level.Info(x.Logger).Log("msg", "endpoint deferred for its limit", "id", x.ID, "endpoint", c.Endpoint.Name,
		"limit_milli", c.Limit.MilliPerSecond, "limit_age_ms", now.Sub(c.Limit.NamedAt).Milliseconds(), "err", err)
	return nil, errors.Wrapf(errLimitReached, "%s: %s", c.Endpoint.Name, err)
}

// logLimit logs a limit that the endpoint names, or no longer names, unless the router
// knew that when it chose the endpoint.
func (x *exchange) logLimit(c *boragewick.Candidate, r *boragewick.Reply) {
	if r.Limited {
		x.count("answers.limit")
	}
	known := c.Limit != nil
	if r.Limited == known && (!known || uint64(r.LimitPerSecond*boragewick.LimitedRequest) == c.Limit.MilliPerSecond) || r.NotRun && !r.Limited {
		return
	}
	_ = level.Info(x.Logger).Log("msg", "endpoint names a limit", "id", x.ID, "endpoint", c.Endpoint.Name, "limited", r.Limited, "per_second", r.LimitPerSecond)
}
