package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// mayResume reports whether another endpoint may go on with the request's stream.
func (x *exchange) mayResume() bool {
	return x.route.Kind == boragewick.Streaming && x.route.Resumable
}

// originKey returns the key of the request that brought the first event of the stream.
func (x *exchange) originKey() boragewick.StreamKey {
	id := x.ID
	if x.TakenUp && x.Resumes != "" {
		id = x.Resumes
	}
	workspace := ""
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	return boragewick.NewStreamKey(workspace, id)
}

// routePools returns the names of the pools to which the request may go.
func (x *exchange) routePools() []string {
	list := make([]string, len(x.route.Pools))
	for i, p := range x.route.Pools {
		list[i] = p.Pool
	}
	return list
}

// takeUp finds out which software may go on with the stream if the caller has events of it
// from an earlier request. It returns an error if none may or that isn't known.
func (s *relay) takeUp(ctx context.Context) error {
	if !s.mayResume() || !s.TakenUp || s.Origins == nil {
		return nil
	}
	build, err := s.Origins.Find(ctx, s.originKey(), s.routePools())
	if err == nil {
		err = s.choosePool(build)
	}
	_ = level.Info(s.Logger).Log("msg", "stream taken up", "id", s.ID, "resumes", s.Resumes, "last_event", s.LastEvent, "build", build, "err", err)
	if err != nil {
		s.count("streams.not_taken_up")
		// No return within the caller's time can succeed.
		return &boragewick.RetryError{At: s.Clock.Now().Add(time.Until(s.deadline)), Err: err}
	}
	s.count("streams.taken_up")
	s.begun, s.build = true, build
	return nil
}

// choosePool sends the request to the pool that has the build.
func (s *relay) choosePool(build boragewick.Build) error {
	view := s.View()
	for _, name := range s.routePools() {
		if pool := view.Pool(name); pool != nil && slices.Contains(view.Builds[name], build) {
			s.pool = pool
			return nil
		}
	}
	return errors.Wrapf(boragewick.ErrNoEndpoint, "no endpoints with build %s", build)
}

// builds returns the software on which the stream may run, and whether endpoints of unknown
// software are excluded. A stream begins only on builds with which endpoints may serve, as
// other routers must be able to learn of them.
func (s *relay) builds() ([]boragewick.Build, bool) {
	switch {
	case !s.mayResume():
		return nil, false
	case s.begun:
		return []boragewick.Build{s.build}, true
	default:
		return s.View().Builds[s.pool.Name], false
	}
}

// recordOrigin records the software at which the stream begins, or goes on in place of
// another router.
func (s *relay) recordOrigin(c *boragewick.Candidate) {
	if !s.mayResume() {
		return
	}
	s.begun, s.build = true, c.Endpoint.Build
	if s.Origins != nil {
		s.Origins.Record(boragewick.StreamOrigin{Key: s.originKey(), Build: s.build}, s.routePools(), s.Clock.Now().Add(time.Until(s.deadline)))
	}
}
