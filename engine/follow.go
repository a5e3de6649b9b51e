package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/endpointhttp"
)

const (
	// eventSilence is how long a stream without events or heartbeats lives.
	eventSilence = 3 * time.Second
	// listingGap is the shortest time between two listings.
	listingGap = 250 * time.Millisecond
	// followRetry is the wait before a lost event stream is opened again.
	followRetry = 100 * time.Millisecond
)

// follower is one event stream.
type follower struct {
	client *Client
	sink   boragewick.CacheSink
	epoch  boragewick.Incarnation
	// sequence is the newest event or listing that the sink has had.
	sequence uint64
	// gap tells that a listing is needed, from listAt on.
	gap    bool
	listAt time.Time
}

// Follow keeps the sink up to date with the engine's prefix cache until ctx is
// done. It begins with a listing, asks for another one after a gap, and starts
// again when the stream is lost or the engine has restarted. The Weights of
// the epochs that it gives are empty.
func (c *Client) Follow(ctx context.Context, sink boragewick.CacheSink) error {
	for ctx.Err() == nil {
		f := &follower{client: c, sink: sink}
		// The next run of the loop starts again whatever ended this one.
		_ = f.run(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(followRetry):
		}
	}
	return nil
}

func (f *follower) run(ctx context.Context) error {
	if err := f.list(ctx); err != nil {
		return err
	}
	w, err := f.client.Do(ctx, &endpointhttp.Call{
		Method:  http.MethodGet,
		Path:    "/events?from=" + strconv.FormatUint(f.sequence, 10),
		FirstBy: time.Now().Add(eventSilence),
		Between: eventSilence,
	})
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "events: status %d", w.StatusCode)
	}
	lines := json.NewDecoder(w.Body)
	for {
		var e boragewick.EngineEvent
		if err := lines.Decode(&e); err != nil {
			return err
		}
		if err := f.take(ctx, &e); err != nil {
			return err
		}
	}
}

// take passes one line on. A line without a change tells how far the stream is.
func (f *follower) take(ctx context.Context, e *boragewick.EngineEvent) error {
	if e.Epoch != f.epoch {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "engine restarted as %s", e.Epoch)
	}
	switch {
	case e.Change != "":
		f.gap = f.sink.Apply(boragewick.CacheEvent{
			Epoch:  boragewick.CacheEpoch{Engine: e.Epoch},
			Number: e.Sequence,
			Kind:   e.Change,
			Blocks: e.Blocks,
		})
	case e.Sequence > f.sequence:
		f.gap = true
	}
	f.sequence = max(f.sequence, e.Sequence)
	if f.gap && !time.Now().Before(f.listAt) {
		return f.list(ctx)
	}
	return nil
}

// list gives the sink a listing.
func (f *follower) list(ctx context.Context) error {
	var l boragewick.EngineListing
	if err := f.client.get(ctx, "/blocks", &l); err != nil {
		return err
	}
	if f.epoch == "" {
		f.epoch = l.Epoch
	}
	if l.Epoch != f.epoch {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "engine restarted as %s", l.Epoch)
	}
	epoch := boragewick.CacheEpoch{Engine: l.Epoch}
	f.sink.Reset(epoch)
	f.gap = f.sink.Repair(boragewick.CacheListing{Epoch: epoch, Number: l.Sequence, Blocks: l.Blocks})
	f.sequence = max(f.sequence, l.Sequence)
	f.listAt = time.Now().Add(listingGap)
	return nil
}
