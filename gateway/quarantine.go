package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// errConnBroken marks errors of attempts whose connection was lost before the response
// was complete.
var errConnBroken = errors.New("connection broken")

// checkQuarantine returns ErrQuarantined if a shared part of the prompt or, once its body
// has been read, the whole request is in quarantine.
func (x *exchange) checkQuarantine() error {
	if x.Parts == nil || !x.Parts.IsWatching() {
		return nil
	}
	for _, part := range x.parts {
		if until, ok := x.Parts.QuarantinedUntil(part); ok {
			return x.quarantined(until, "part", part)
		}
	}
	if !x.bodyRead {
		return nil
	}
	if until, ok := x.Parts.QuarantinedUntil(x.requestKey()); ok {
		return x.quarantined(until, "request", x.requestKey())
	}
	return nil
}

// quarantined returns the error for a part or request in quarantine, and counts it.
func (x *exchange) quarantined(until time.Time, what string, key uint64) error {
	x.count("requests.quarantined")
	return &boragewick.RetryError{At: until, Err: errors.Wrapf(boragewick.ErrQuarantined, "%s %016x", what, key)}
}

// modelKey returns the key of what all requests to the same kind of endpoint have in
// common.
func (x *exchange) modelKey() uint64 {
	if x.pool.Engine == nil {
		return boragewick.PoolKey(x.pool.Name)
	}
	return boragewick.ModelKey(x.Model)
}

// observeBroken notifies Crashes of an attempt whose connection was lost. An attempt
// that the caller, the deadline or the shutdown of the router has ended says nothing of
// the endpoint, nor does one at an endpoint that leaves, as it ends by plan. sendCtx is
// done if the watchdog has closed the connection, in which case the endpoint may only
// hang.
func (x *exchange) observeBroken(ctx, sendCtx context.Context, a *boragewick.BrokenAttempt, flight boragewick.Flight) {
	if x.Crashes == nil || ctx.Err() != nil || isClosed(flight.Left()) {
		return
	}
	a.Request, a.Parts, a.Model = x.requestKey(), x.parts, x.modelKey()
	a.Variant = boragewick.VariantKey(a.Request, x.Prefix)
	a.BrokeAt = x.Clock.Now()
	a.Down = isClosed(flight.Lost()) && sendCtx.Err() == nil
	x.Crashes.ObserveBroken(a)
}

// observeAnswered notifies Crashes of an answer. One that ends with the connection may
// have been cut by a crash. An empty stream does not show that the endpoint can begin to
// write an answer.
func (x *exchange) observeAnswered(ctx, sendCtx context.Context, a *boragewick.BrokenAttempt, flight boragewick.Flight, closeDelimited, begun bool) {
	if x.Crashes == nil || x.Parts == nil {
		return
	}
	request, parts := x.requestKey(), append(slices.Clip(x.parts), x.modelKey())
	suspected := x.Parts.IsWatching() && (x.Parts.IsSuspect(request) || slices.ContainsFunc(parts, x.Parts.IsSuspect))
	switch {
	case closeDelimited:
		a.Answered, a.Suspected = begun, suspected
		x.observeBroken(ctx, sendCtx, a, flight)
	case begun:
		x.Crashes.ObserveAnswered(request, parts, suspected)
	}
}

// isClosed reports whether the channel is closed; nil is not.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
