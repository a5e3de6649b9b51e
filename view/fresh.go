package view

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
)

// freshPollInterval is the time between two checks of the freshness.
const freshPollInterval = 5 * time.Millisecond

// freshness records until when the configuration is known to be the newest. Its
// context is canceled when that time passes without a newer proof.
type freshness struct {
	until  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
}

// ExtendFreshness extends the freshness to until if the revision in force is at
// least r.
func (v *View) ExtendFreshness(r boragewick.Revision, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.damaged || v.revision.Less(r) || !until.After(v.fresh.until) {
		return
	}
	v.fresh.until = until
	left := until.Sub(v.Clock.Now())
	if v.fresh.ctx == nil || v.fresh.ctx.Err() != nil {
		v.fresh.ctx, v.fresh.cancel = context.WithCancel(context.Background())
		v.fresh.timer = time.AfterFunc(left, v.expire)
		return
	}
	v.fresh.timer.Reset(left)
}

// expire cancels the context unless a newer proof has been received.
func (v *View) expire() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if left := v.fresh.until.Sub(v.Clock.Now()); left > 0 {
		v.fresh.timer.Reset(left)
		return
	}
	v.fresh.cancel()
}

// FreshUntil returns the time until which requests with a key are served.
func (v *View) FreshUntil() time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.fresh.until
}

// AwaitFresh waits until the configuration is known to be the newest, ctx is
// done or the deadline has passed.
func (v *View) AwaitFresh(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ticker := time.NewTicker(freshPollInterval)
	defer ticker.Stop()
	for !v.FreshUntil().After(v.Clock.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// WhileFresh returns a context derived from ctx that is canceled with the cause
// ErrStaleConfig as soon as the configuration is no longer known to be the newest.
func (v *View) WhileFresh(ctx context.Context) (context.Context, context.CancelFunc) {
	v.mu.RLock()
	fresh := v.fresh.ctx
	v.mu.RUnlock()
	ctx, cancel := context.WithCancelCause(ctx)
	if fresh == nil {
		cancel(boragewick.ErrStaleConfig)
		return ctx, func() {}
	}
	stop := context.AfterFunc(fresh, func() { cancel(boragewick.ErrStaleConfig) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
