package origins

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// askTimeout bounds the question to all replicas.
	askTimeout = 200 * time.Millisecond
	// findAttempts is how often the replicas are asked, and findPause the time in
	// between: a report may still be on its way.
	findAttempts = 2
	findPause    = batchWindow + 20*time.Millisecond
)

// answers collects what replicas answer to one question.
type answers struct {
	// settled counts the voters that know all builds of their log, which are in builds.
	settled int
	// voters is the largest number of voters that one of them knows.
	voters int
	builds []boragewick.Build
}

// add adds an answer.
func (a *answers) add(r *boragewick.OriginReply) {
	if r.Voters == 0 || !r.Settled {
		return
	}
	a.settled++
	a.voters = max(a.voters, r.Voters)
	for _, b := range r.Builds {
		if !slices.Contains(a.builds, b) {
			a.builds = append(a.builds, b)
		}
	}
}

// single returns the only build with which any router can have begun a stream, or zero. A
// build in use has been committed, so it is in the log of one voter of each majority.
func (a *answers) single() boragewick.Build {
	if a.settled == 0 || a.settled <= a.voters/2 || len(a.builds) != 1 {
		return 0
	}
	return a.builds[0]
}

// ask asks all replicas and returns where the stream began as soon as an answer tells.
func (t *Tracker) ask(ctx context.Context, q *boragewick.OriginQuery) (boragewick.Build, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replicas := t.Replicas()
	replies := make(chan *boragewick.OriginReply, len(replicas))
	for _, addr := range replicas {
		go func() {
			var r boragewick.OriginReply
			if err := boragewick.Call(ctx, t.Peer(addr), boragewick.MethodOrigin, q, &r); err != nil {
				replies <- nil // what is missing is in the caller's error
				return
			}
			replies <- &r
		}()
	}
	var got answers
	answered := 0
	for range replicas {
		r := <-replies
		if r == nil {
			continue
		}
		answered++
		if r.Build != 0 {
			t.known.Put(boragewick.StreamOrigin{Key: q.Key, Build: r.Build}, t.Clock.Now())
			return r.Build, nil
		}
		got.add(r)
		if b := got.single(); b != 0 {
			return b, nil
		}
	}
	return 0, errors.Wrapf(boragewick.ErrUnknownOrigin, "%d of %d replicas answered, %d of %d voters settled, %d builds",
		answered, len(replicas), got.settled, got.voters, len(got.builds))
}
