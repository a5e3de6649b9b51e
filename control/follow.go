package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// instanceRetention is how long an instance is listed after it was last seen.
const instanceRetention = time.Minute

// maxConcurrentSnapshots is the maximum number of receivers that are sent a
// snapshot at the same time.
const maxConcurrentSnapshots = 4

// reportInterval is the interval at which a replica reports to the leader which
// revisions are in force at instances.
const reportInterval = time.Second

// follow streams updates until the receiver disconnects.
func (c *Control) follow(ctx context.Context, s boragewick.Stream) error {
	var r boragewick.FollowRequest
	if err := s.Recv(ctx, &r); err != nil {
		return err
	}
	sent := r.After
	for {
		var changed <-chan struct{}
		var err error
		if sent, changed, err = c.catchUp(ctx, s, sent); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// acquireSnapshotSlot waits until fewer than maxConcurrentSnapshots receivers
// are being sent a snapshot. The limit bounds the memory use when many routers
// start at the same time.
func (c *Control) acquireSnapshotSlot(ctx context.Context) (release func(), err error) {
	c.snapshotSlotsOnce.Do(func() { c.snapshotSlots = make(chan struct{}, maxConcurrentSnapshots) })
	select {
	case c.snapshotSlots <- struct{}{}:
		return func() { <-c.snapshotSlots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// catchUp sends the updates after the revision. It returns the newest revision
// sent and a channel that is closed when there are more updates.
func (c *Control) catchUp(ctx context.Context, s boragewick.Stream, sent boragewick.Revision) (boragewick.Revision, <-chan struct{}, error) {
	if sent.Index == 0 {
		release, err := c.acquireSnapshotSlot(ctx)
		if err != nil {
			return sent, nil, err
		}
		defer release()
	}
	updates, changed := c.State.Follow(sent)
	for _, u := range updates {
		if err := s.Send(ctx, u); err != nil {
			return sent, nil, err
		}
		sent = u.Revision
	}
	return sent, changed, nil
}

// updateFreshness records up to when the configuration is known to be the
// newest: by this replica's lease if it leads, otherwise by asking the leader.
func (c *Control) updateFreshness(ctx context.Context) {
	now := c.Clock.Now()
	if st := c.Log.Status(); st.Leading {
		if st.LeaseUntil.After(now) {
			c.setFresh(boragewick.Freshness{Revision: c.State.Revision(), At: now})
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*maintenanceInterval)
	defer cancel()
	var f boragewick.Freshness
	r := boragewick.FreshnessRequest{Seen: c.unreported(now)}
	if err := boragewick.Call(ctx, c.Leader, boragewick.MethodFresh, r, &f); err != nil {
		return
	}
	c.setFresh(boragewick.Freshness{Revision: f.Revision, At: now.Add(f.At.Sub(f.Now))})
}

func (c *Control) setFresh(f boragewick.Freshness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.At.After(c.latestFreshness.At) {
		c.latestFreshness = f
	}
}

func (c *Control) freshness(ctx context.Context, r boragewick.FreshnessRequest) (boragewick.Freshness, error) {
	leading := c.Log.Status().Leading
	if r.Instance == "" && !leading {
		return boragewick.Freshness{}, errors.Wrap(boragewick.ErrNotLeader, "asked by a replica")
	}
	if leading {
		c.updateFreshness(ctx)
	}
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Instance != "" {
		c.recordInstance(boragewick.InstanceStatus{Name: r.Instance, InForce: r.InForce, Seen: now})
	}
	for _, i := range r.Seen {
		c.recordInstance(i)
	}
	f := c.latestFreshness
	f.Now = now
	return f, nil
}

// unreported returns the status of the instances seen since the last report to
// the leader, once per reportInterval or as soon as a report is due.
func (c *Control) unreported(now time.Time) []boragewick.InstanceStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reportDue && now.Sub(c.reportedAt) < reportInterval {
		return nil
	}
	var list []boragewick.InstanceStatus
	for _, i := range c.instances {
		if i.Seen.After(c.reportedAt) {
			list = append(list, i)
		}
	}
	c.reportedAt = now
	c.reportDue = false
	return list
}

func (c *Control) recordInstance(s boragewick.InstanceStatus) {
	if c.instances == nil {
		c.instances = map[string]boragewick.InstanceStatus{}
	}
	old, known := c.instances[s.Name]
	if known && s.Seen.Before(old.Seen) {
		return
	}
	c.reportDue = c.reportDue || !known || old.InForce != s.InForce
	c.instances[s.Name] = s
	maps.DeleteFunc(c.instances, func(_ string, old boragewick.InstanceStatus) bool {
		return s.Seen.Sub(old.Seen) > instanceRetention
	})
}

// status returns the state known to this replica. While there is a leader, only
// the leader answers, because all replicas report their instances to it.
func (c *Control) status(_ context.Context, _ struct{}) (boragewick.StatusReply, error) {
	reply := boragewick.StatusReply{Log: c.Log.Status(), Revision: c.State.Revision()}
	if !reply.Log.Leading && reply.Log.Leader != "" {
		return reply, errors.Wrapf(boragewick.ErrNotLeader, "%s leads", reply.Log.Leader)
	}
	endpoints := c.State.Endpoints()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range endpoints {
		reply.Endpoints = append(reply.Endpoints, boragewick.EndpointStatus{Endpoint: e, Load: c.loads[e.Name]})
	}
	slices.SortFunc(reply.Endpoints, func(a, b boragewick.EndpointStatus) int { return cmp.Compare(a.Name, b.Name) })
	reply.Freshness = c.latestFreshness
	reply.Freshness.Now = c.Clock.Now()
	for _, s := range c.instances {
		reply.Instances = append(reply.Instances, s)
	}
	slices.SortFunc(reply.Instances, func(a, b boragewick.InstanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return reply, nil
}
