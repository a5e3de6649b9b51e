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

// instanceMemory is how long an instance that asked once is listed.
const instanceMemory = time.Minute

// maxSnapshots is the number of receivers that get a snapshot at once.
const maxSnapshots = 4

// reportInterval is the time between two reports of a replica to the leader
// on what is in force at instances.
const reportInterval = time.Second

// follow streams updates until the receiver hangs up.
func (c *Control) follow(ctx context.Context, s boragewick.Stream) error {
	var r boragewick.FollowRequest
	if err := s.Recv(ctx, &r); err != nil {
		return err
	}
	at := r.After
	for {
		var more <-chan struct{}
		var err error
		if at, more, err = c.catchUp(ctx, s, at); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-more:
		}
	}
}

// begin waits for one of the places of receivers that need a snapshot, so that
// a herd of routers that starts does not fill the memory.
func (c *Control) begin(ctx context.Context) (release func(), err error) {
	c.once.Do(func() { c.snapshots = make(chan struct{}, maxSnapshots) })
	select {
	case c.snapshots <- struct{}{}:
		return func() { <-c.snapshots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// catchUp sends the updates after the revision and returns the newest one and
// a channel that is closed when there is more.
func (c *Control) catchUp(ctx context.Context, s boragewick.Stream, at boragewick.Revision) (boragewick.Revision, <-chan struct{}, error) {
	if at.Index == 0 {
		release, err := c.begin(ctx)
		if err != nil {
			return at, nil, err
		}
		defer release()
	}
	updates, more := c.State.Follow(at)
	for _, u := range updates {
		if err := s.Send(ctx, u); err != nil {
			return at, nil, err
		}
		at = u.Revision
	}
	return at, more, nil
}

// refresh learns up to when the configuration here is known to be the newest.
func (c *Control) refresh(ctx context.Context) {
	now := c.Clock.Now()
	if st := c.Log.Status(); st.Leading {
		if st.LeaseUntil.After(now) {
			c.setFresh(boragewick.Freshness{Revision: c.State.Revision(), At: now})
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*sweepInterval)
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
	if f.At.After(c.fresh.At) {
		c.fresh = f
	}
}

func (c *Control) freshness(ctx context.Context, r boragewick.FreshnessRequest) (boragewick.Freshness, error) {
	leading := c.Log.Status().Leading
	if r.Instance == "" && !leading {
		return boragewick.Freshness{}, errors.Wrap(boragewick.ErrNotLeader, "asked by a replica")
	}
	if leading {
		c.refresh(ctx)
	}
	now := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Instance != "" {
		c.sawInstance(boragewick.InstanceStatus{Name: r.Instance, InForce: r.InForce, Seen: now})
	}
	for _, i := range r.Seen {
		c.sawInstance(i)
	}
	f := c.fresh
	f.Now = now
	return f, nil
}

// unreported lists what instances have told since the last report to the
// leader, once in reportInterval or as soon as a revision has come in force.
func (c *Control) unreported(now time.Time) []boragewick.InstanceStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.moved && now.Sub(c.reported) < reportInterval {
		return nil
	}
	var list []boragewick.InstanceStatus
	for _, i := range c.instances {
		if i.Seen.After(c.reported) {
			list = append(list, i)
		}
	}
	c.reported = now
	c.moved = false
	return list
}

func (c *Control) sawInstance(s boragewick.InstanceStatus) {
	if c.instances == nil {
		c.instances = map[string]boragewick.InstanceStatus{}
	}
	old, known := c.instances[s.Name]
	if known && s.Seen.Before(old.Seen) {
		return
	}
	c.moved = c.moved || !known || old.InForce != s.InForce
	c.instances[s.Name] = s
	maps.DeleteFunc(c.instances, func(_ string, old boragewick.InstanceStatus) bool {
		return s.Seen.Sub(old.Seen) > instanceMemory
	})
}

// status tells what this replica knows. It leaves the answer to the leader, who
// knows all instances, unless there is none.
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
	reply.Freshness = c.fresh
	reply.Freshness.Now = c.Clock.Now()
	for _, s := range c.instances {
		reply.Instances = append(reply.Instances, s)
	}
	slices.SortFunc(reply.Instances, func(a, b boragewick.InstanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return reply, nil
}
