// Package follow keeps a router's view in step with control.
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
	// proofInterval is the time between two questions for freshness.
	proofInterval = 250 * time.Millisecond
	// proofTimeout bounds one question for freshness.
	proofTimeout = 500 * time.Millisecond
	// retryPause is the time before the next replica is tried.
	retryPause = 100 * time.Millisecond
	// startPatience is how long a replica may take to send what a router that
	// starts needs.
	startPatience = 10 * time.Second
	// maxFailures is how often in a row a replica may leave a question open.
	maxFailures = 2
)

// Follower streams updates into a View from one control replica at a time and
// proves the View's freshness.
type Follower struct {
	Instance string
	View     *view.View
	Replicas []boragewick.Peer
	Clock    boragewick.Clock
	Logger   log.Logger
	// FreshFor is how long one proof of freshness lasts.
	FreshFor time.Duration
}

// Run follows until ctx is done. It goes to the next replica when one fails
// or no longer proves freshness.
func (f *Follower) Run(ctx context.Context) error {
	for n := f.first(); ctx.Err() == nil; n++ {
		peer := f.Replicas[n%len(f.Replicas)]
		err := f.followOne(ctx, peer)
		_ = level.Debug(f.Logger).Log("msg", "control replica left", "replica", n%len(f.Replicas), "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	return ctx.Err()
}

// first spreads instances over the replicas.
func (f *Follower) first() int {
	return int(xxhash.Sum64String(f.Instance) % uint64(len(f.Replicas)))
}

func (f *Follower) followOne(ctx context.Context, peer boragewick.Peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := peer.Open(ctx, boragewick.MethodFollow, boragewick.FollowRequest{Instance: f.Instance, After: f.View.Position()})
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	go func() { failed <- f.receive(ctx, s) }()
	go func() { failed <- f.prove(ctx, peer) }()
	err = <-failed
	cancel()
	err = errors.CombineErrors(err, <-failed)
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

// prove asks for freshness again and again. It fails when the replica does not
// answer, or when half of FreshFor has passed without a proof, so that another
// replica is tried before the View goes stale.
func (f *Follower) prove(ctx context.Context, peer boragewick.Peer) error {
	ticker := time.NewTicker(proofInterval)
	defer ticker.Stop()
	giveUp := f.Clock.Now().Add(startPatience)
	for failures := 0; ; {
		err := f.proveOnce(ctx, peer)
		failures++
		if err == nil {
			failures = 0
		}
		now := f.Clock.Now()
		if until := f.View.FreshUntil(); until.After(now) {
			giveUp = until.Add(-f.FreshFor / 2)
		}
		switch {
		case failures >= maxFailures:
			return err
		case now.After(giveUp):
			return errors.Wrap(boragewick.ErrStaleConfig, "the replica proves nothing")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// proveOnce counts the age of the replica's knowledge from before the question
// was sent, so that no delay makes it look younger than it is.
func (f *Follower) proveOnce(ctx context.Context, peer boragewick.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	asked := f.Clock.Now()
	var fresh boragewick.Freshness
	r := boragewick.FreshnessRequest{Instance: f.Instance, InForce: f.View.Revision()}
	if err := boragewick.Call(ctx, peer, boragewick.MethodFresh, r, &fresh); err != nil {
		return err
	}
	age := fresh.Now.Sub(fresh.At)
	f.View.Prove(fresh.Revision, asked.Add(f.FreshFor-age))
	return nil
}
