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

// send tells as many replicas as keep copies what they lack, in the background. Those are
// always the same, so that few messages carry many origins.
func (t *Tracker) send(ctx context.Context, tasks *sync.WaitGroup) {
	replicas := t.ranked()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told.Keep(replicas)
	for i := range min(copies, len(replicas)) {
		if t.sending[i] || t.told.Len() == 0 {
			continue
		}
		t.sending[i] = true
		tasks.Go(func() { t.sendCopy(ctx, i, replicas) })
	}
}

// sendCopy tells one replica of those that may keep the copy.
func (t *Tracker) sendCopy(ctx context.Context, i int, replicas []netip.AddrPort) {
	var err error
	for try := i; try < len(replicas) && try < copies*maxTries; try += copies {
		if err = t.sendTo(ctx, replicas[try]); err == nil {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.count("origins.reports_failed")
	}
	if failing := err != nil; failing != t.failing[i] {
		t.failing[i] = failing
		_ = level.Warn(t.Logger).Log("msg", "origins of streams", "replica", replicas[i], "delivered", !failing, "err", err)
	}
	t.sending[i] = false
}

// sendTo tells the replica what its run lacks, in as many reports as that takes.
func (t *Tracker) sendTo(ctx context.Context, addr netip.AddrPort) error {
	for more := true; more; {
		t.mu.Lock()
		list, number, due := t.told.Next(addr, maxBatch, t.Clock.Now())
		t.mu.Unlock()
		if !due {
			return nil
		}
		report := boragewick.OriginReport{Began: map[boragewick.Build][]boragewick.StreamKey{}}
		for _, o := range list {
			report.Began[o.Build] = append(report.Began[o.Build], o.Key)
		}
		ack, err := t.report(ctx, addr, &report)
		if err != nil {
			return err
		}
		t.mu.Lock()
		more = t.told.Confirm(addr, ack.Run, number, t.Clock.Now())
		t.mu.Unlock()
	}
	return nil
}

// report sends one report.
func (t *Tracker) report(ctx context.Context, addr netip.AddrPort, report *boragewick.OriginReport) (boragewick.OriginAck, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var ack boragewick.OriginAck
	err := boragewick.Call(ctx, t.Peer(addr), boragewick.MethodOrigins, report, &ack)
	return ack, err
}

// ranked returns the replicas in this router's order.
func (t *Tracker) ranked() []netip.AddrPort {
	list := slices.Clone(t.Replicas())
	rank := func(a netip.AddrPort) uint64 { return xxh3.HashString(t.Instance + " " + a.String()) }
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return cmp.Compare(rank(a), rank(b)) })
	return list
}
