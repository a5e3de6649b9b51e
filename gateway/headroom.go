package gateway

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
)

// selectCandidates returns the endpoints for the next attempt, the best one first, and the
// criteria by which they were selected. Before the first attempt it waits until there is room
// for the request.
func (x *exchange) selectCandidates(ctx context.Context, avoid map[string]bool, stream *relay) (boragewick.Selection, []boragewick.Candidate, error) {
	var s boragewick.Selection
	choose := func() ([]boragewick.Candidate, error) {
		s = x.selection(avoid) // the weights that are allowed change with time
		s.Builds, s.OnlyBuilds = stream.builds()
		return x.Placer.Select(ctx, s)
	}
	candidates, err := choose()
	if err != nil || x.decided || !x.needsHeadroom(stream) {
		return s, candidates, err
	}
	x.decided = true
	if !x.Headroom.Pressed(&candidates[0]) {
		return s, candidates, nil
	}
	candidates, x.place, err = x.Headroom.Admit(ctx, x.headroomRequest(choose), candidates)
	if err == nil {
		err = x.checkBeforeSend() // the request may have waited
	}
	return s, candidates, err
}

// needsHeadroom reports whether Headroom decides on the request. It doesn't if the request has
// been sent before or goes on with a stream.
func (x *exchange) needsHeadroom(stream *relay) bool {
	return x.Headroom != nil && x.pool.Engine != nil && x.sent == 0 && stream.resume == nil &&
		!stream.begun && !x.TakenUp && x.LastEvent == ""
}

// headroomRequest describes the request to Headroom.
func (x *exchange) headroomRequest(choose func() ([]boragewick.Candidate, error)) *boragewick.HeadroomRequest {
	now := x.Clock.Now()
	left := time.Until(x.deadline)
	useful := left
	if x.route.AbandonedAfter > 0 {
		useful = min(useful, time.Until(x.started.Add(x.route.AbandonedAfter)))
	}
	r := &boragewick.HeadroomRequest{
		ID:            x.ID,
		Pool:          x.pool.Name,
		Rank:          x.priority(),
		PromptTokens:  x.PromptTokens,
		OutputTokens:  x.OutputTokens,
		EngineTokens:  x.pool.Engine.CacheTokens,
		UsefulUntil:   now.Add(useful),
		Deadline:      now.Add(left),
		Select:        choose,
		TargetLatency: x.route.TargetLatency,
	}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
	}
	return r
}

// recordPlaced records that the Placer counts the request at its endpoint.
func (x *exchange) recordPlaced() {
	if x.place != nil {
		x.place.Sent()
	}
}

// recordFirstEvent records that the endpoint to which the request was sent first has answered.
func (x *exchange) recordFirstEvent() {
	if x.place != nil && x.sent == 1 {
		x.place.Started()
	}
}
