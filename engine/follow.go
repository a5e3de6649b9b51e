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
	// eventTimeout is how long a stream may carry neither events nor heartbeats
	// before it counts as lost.
	eventTimeout = 3 * time.Second
	// minListingInterval is the minimum time between listings.
	minListingInterval = 250 * time.Millisecond
	// reconnectDelay is the delay before a lost event stream is reopened.
	reconnectDelay = 100 * time.Millisecond
)

// follower reads one event stream.
type follower struct {
	client *Client
	sink   boragewick.CacheSink
	epoch  boragewick.Incarnation
	// sequence is the highest sequence number of an event, heartbeat or listing so
	// far.
	sequence uint64
	// needsListing reports whether a listing is needed. It is requested at
	// nextListing at the earliest.
	needsListing bool
	nextListing  time.Time
}

// Follow keeps the sink in sync with the engine's prefix cache until ctx is done.
// It begins with a listing, requests another one after a gap in the events and
// starts over if the stream is lost or the engine has restarted. It leaves the
// Weights of the epochs empty.
func (c *Client) Follow(ctx context.Context, sink boragewick.CacheSink) error {
	for ctx.Err() == nil {
		f := &follower{client: c, sink: sink}
		// The next iteration starts over whatever the error was.
		_ = f.run(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
	return nil
}

func (f *follower) run(ctx context.Context) error {
	if err := f.fetchListing(ctx); err != nil {
		return err
	}
	resp, err := f.client.Do(ctx, &endpointhttp.Call{
		Method:            http.MethodGet,
		Path:              "/events?from=" + strconv.FormatUint(f.sequence, 10),
		FirstByteDeadline: time.Now().Add(eventTimeout),
		ReadTimeout:       eventTimeout,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "events: status %d", resp.StatusCode)
	}
	decoder := json.NewDecoder(resp.Body)
	for {
		var e boragewick.EngineEvent
		if err := decoder.Decode(&e); err != nil {
			return err
		}
		if err := f.handleEvent(ctx, &e); err != nil {
			return err
		}
	}
}

// handleEvent passes one event to the sink. An event without a change is a
// heartbeat; if its sequence number is ahead of the last one, events were lost.
func (f *follower) handleEvent(ctx context.Context, e *boragewick.EngineEvent) error {
	if e.Epoch != f.epoch {
		return errors.Wrapf(boragewick.ErrEndpointFailed, "engine restarted as %s", e.Epoch)
	}
	switch {
	case e.Change != "":
		f.needsListing = f.sink.Apply(boragewick.CacheEvent{
			Epoch:  boragewick.CacheEpoch{Engine: e.Epoch},
			Number: e.Sequence,
			Kind:   e.Change,
			Blocks: e.Blocks,
		})
	case e.Sequence > f.sequence:
		f.needsListing = true
	}
	f.sequence = max(f.sequence, e.Sequence)
	if f.needsListing && !time.Now().Before(f.nextListing) {
		return f.fetchListing(ctx)
	}
	return nil
}

// fetchListing requests a listing and replaces the content of the sink by it.
func (f *follower) fetchListing(ctx context.Context) error {
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
	f.needsListing = f.sink.Replace(boragewick.CacheListing{Epoch: epoch, Number: l.Sequence, Blocks: l.Blocks})
	f.sequence = max(f.sequence, l.Sequence)
	f.nextListing = time.Now().Add(minListingInterval)
	return nil
}
