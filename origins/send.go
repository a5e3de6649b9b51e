package origins

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

const (
	// copies is the number of replicas that keep the origin of a stream.
	copies = 2
	// maxTries is the number of replicas to which a copy may be sent until one takes it.
	maxTries = 3
	// sendTimeout bounds one call with a report.
	sendTimeout = 400 * time.Millisecond
)

// send sends the report to as many replicas as keep copies, in the background. Those are
// always the same, so that few messages carry many origins.
func (t *Tracker) send(ctx context.Context, tasks *sync.WaitGroup, report *boragewick.OriginReport) {
	replicas := t.ranked()
	for i := range min(copies, len(replicas)) {
		tasks.Go(func() {
			var err error
			for try := i; try < len(replicas) && try < copies*maxTries; try += copies {
				if err = t.sendTo(ctx, replicas[try], report); err == nil {
					return
				}
			}
			t.count("origins.reports_failed")
			_ = level.Warn(t.Logger).Log("msg", "origins of streams not delivered", "replica", replicas[i], "builds", len(report.Began), "err", err)
		})
	}
}

// sendTo sends the report to one replica.
func (t *Tracker) sendTo(ctx context.Context, addr netip.AddrPort, report *boragewick.OriginReport) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return boragewick.Call(ctx, t.Peer(addr), boragewick.MethodOrigins, report, &struct{}{})
}

// ranked returns the replicas in this router's order.
func (t *Tracker) ranked() []netip.AddrPort {
	list := slices.Clone(t.Replicas())
	rank := func(a netip.AddrPort) uint64 { return xxh3.HashString(t.Instance + " " + a.String()) }
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return cmp.Compare(rank(a), rank(b)) })
	return list
}
