// Package follow keeps a router's view up to date with the control replicas.
package follow

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/view"
)

const (
	// proofInterval is the time between two requests for a proof of freshness.
	proofInterval = 250 * time.Millisecond
	// proofTimeout bounds one such request.
	proofTimeout = 500 * time.Millisecond
	// retryDelay is the time before the next replica is tried.
	retryDelay = 100 * time.Millisecond
	// startTimeout is how long a replica may take to send what a starting
	// router needs.
	startTimeout = 10 * time.Second
	// maxFailures is the number of requests failed in a row at which the
	// follower leaves the replica.
	maxFailures = 2
)

// Follower streams updates from one control replica at a time into a View and
// renews the View's freshness.
type Follower struct {
	Instance string
	View     *view.View
	Replicas []boragewick.Peer
	Clock    boragewick.Clock
	Logger   log.Logger
	// FreshFor is how long one proof of freshness is valid.
	FreshFor time.Duration
}

// Run follows the replicas until ctx is done. It switches to the next one when
// one fails or no longer proves freshness.
func (f *Follower) Run(ctx context.Context) error {
	for n := f.firstReplica(); ctx.Err() == nil; n++ {
		peer := f.Replicas[n%len(f.Replicas)]
		err := f.followReplica(ctx, peer)
		_ = level.Debug(f.Logger).Log("msg", "control replica left", "replica", n%len(f.Replicas), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return ctx.Err()
}

// firstReplica returns the index of the replica to follow first. It spreads the
// instances over the replicas.
func (f *Follower) firstReplica() int {
	return int(xxhash.Sum64String(f.Instance) % uint64(len(f.Replicas)))
}

func (f *Follower) followReplica(ctx context.Context, peer boragewick.Peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := peer.Open(ctx, boragewick.MethodFollow, boragewick.FollowRequest{Instance: f.Instance, After: f.View.Position()})
	if err != nil {
		return err
	}
	errs := make(chan error, 2)
	go func() { errs <- f.receive(ctx, s) }()
	go func() { errs <- f.pollFreshness(ctx, peer) }()
	err = <-errs
	cancel()
	err = errors.CombineErrors(err, <-errs)
	return err
}

func (f *Follower) receive(ctx context.Context, s boragewick.Stream) error {
	for {
		var u boragewick.Update
		if err := s.Recv(ctx, &u); err != nil {
			return err
		}
		if err := f.View.Apply(u); err != nil {
			return err
		}
	}
}

// pollFreshness requests proofs of freshness periodically. It fails when the
// replica does not answer, or when half of FreshFor has passed without a proof,
// so that another replica is tried before the View becomes stale.
func (f *Follower) pollFreshness(ctx context.Context, peer boragewick.Peer) error {
	ticker := time.NewTicker(proofInterval)
	defer ticker.Stop()
	deadline := f.Clock.Now().Add(startTimeout)
	for failures := 0; ; {
		err := f.requestProof(ctx, peer)
		failures++
		if err == nil {
			failures = 0
		}
		now := f.Clock.Now()
		if freshUntil := f.View.FreshUntil(); freshUntil.After(now) {
			deadline = freshUntil.Add(-f.FreshFor / 2)
		}
		switch {
		case failures >= maxFailures:
			return err
		case now.After(deadline):
			return errors.Wrap(boragewick.ErrStaleConfig, "no proof of freshness from the replica in time")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// requestProof requests one proof of freshness. It measures the age of the
// replica's data from before the request was sent, so that no delay makes the
// data look newer than they are.
func (f *Follower) requestProof(ctx context.Context, peer boragewick.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	requestedAt := f.Clock.Now()
	var fresh boragewick.Freshness
	r := boragewick.FreshnessRequest{Instance: f.Instance, InForce: f.View.Revision()}
	if err := boragewick.Call(ctx, peer, boragewick.MethodFresh, r, &fresh); err != nil {
		return err
	}
	age := fresh.Now.Sub(fresh.At)
	f.View.ExtendFreshness(fresh.Revision, requestedAt.Add(f.FreshFor-age))
	return nil
}
