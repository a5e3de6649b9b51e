package crashreport

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// sendTimeout bounds one call with a report.
	sendTimeout = 500 * time.Millisecond
	// sendAttempts is how often a report is sent to a replica that does not
	// acknowledge it, and retryDelay the time in between.
	sendAttempts = 5
	retryDelay   = 200 * time.Millisecond
	// maxSending bounds the reports on their way to one replica.
	maxSending = 32
)

// send sends the report to all known replicas in the background.
func (r *Reporter) send(ctx context.Context, tasks *sync.WaitGroup, report *boragewick.CrashReport) {
	for _, addr := range r.Replicas() {
		r.mu.Lock()
		full := r.sending[addr] >= maxSending
		if full {
			r.drop()
		} else {
			if r.sending == nil {
				r.sending = map[netip.AddrPort]int{}
			}
			r.sending[addr]++
		}
		r.mu.Unlock()
		if !full {
			tasks.Go(func() { r.sendTo(ctx, addr, report) })
		}
	}
}

// sendTo sends the report to one replica until it is acknowledged or sendAttempts are
// used up.
func (r *Reporter) sendTo(ctx context.Context, addr netip.AddrPort, report *boragewick.CrashReport) {
	err := r.call(ctx, addr, report)
	for attempt := 1; err != nil && attempt < sendAttempts && ctx.Err() == nil && !isFinal(err); attempt++ {
		boragewick.Sleep(ctx, retryDelay)
		err = r.call(ctx, addr, report)
	}
	if err == nil {
		r.count("crashes.reports_sent")
	} else {
		r.count("crashes.reports_failed")
		_ = level.Warn(r.Logger).Log("msg", "crash report not delivered", "replica", addr, "crashes", len(report.Crashes),
			"answered", len(report.Answered), "err", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sending[addr]--; r.sending[addr] == 0 {
		delete(r.sending, addr)
	}
}

// call sends the report once, with the time at which it does.
func (r *Reporter) call(ctx context.Context, addr netip.AddrPort, report *boragewick.CrashReport) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	current := *report
	current.Now = r.Clock.Now()
	return boragewick.Call(ctx, r.Peer(addr), boragewick.MethodCrashes, &current, &struct{}{})
}

// isFinal reports whether a replica that returned the error never takes the report.
func isFinal(err error) bool {
	return errors.IsAny(err, boragewick.ErrUnknownMethod, boragewick.ErrUnknownService)
}
