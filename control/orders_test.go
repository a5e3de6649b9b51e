package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/state"
)

// localLog commits each command immediately while its replica leads.
type localLog struct {
	machine *state.Machine
	mu      sync.Mutex
	index   uint64
	leading bool
}

func (l *localLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	if !l.leading {
		return nil, boragewick.ErrNotLeader
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 1, Index: l.index}, Command: command}), nil
}

func (l *localLog) Barrier(context.Context) error { return nil }

func (l *localLog) Status() boragewick.LogStatus { return boragewick.LogStatus{Leading: l.leading} }

// fakeAgents carries out orders in place of the endpoints' agents.
type fakeAgents struct {
	control       *Control
	mu            sync.Mutex
	loadErrors    map[string]error
	orders        []boragewick.Order
	inProgress    int
	maxInProgress int
}

func (f *fakeAgents) Peer(*boragewick.Endpoint) boragewick.Peer { return f }

func (f *fakeAgents) Open(ctx context.Context, _ string, v any) (boragewick.Stream, error) {
	o := v.(*boragewick.Order)
	f.track(o, 1)
	defer f.track(o, -1)
	time.Sleep(time.Second)
	f.mu.Lock()
	err := f.loadErrors[o.Endpoint]
	f.mu.Unlock()
	if errors.Is(err, boragewick.ErrTimeout) {
		<-ctx.Done()
		return nil, err
	} else if err != nil {
		return nil, err
	}
	e := f.control.State.Endpoints()[o.Endpoint]
	e.Models = []boragewick.Model{o.Model}
	_, err = f.control.announce(ctx, boragewick.Announcement{Endpoint: e})
	return emptyReply{}, err
}

// track records the start of an order with n = 1 and its end with n = -1.
func (f *fakeAgents) track(o *boragewick.Order, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inProgress += n
	f.maxInProgress = max(f.maxInProgress, f.inProgress)
	if n > 0 {
		f.orders = append(f.orders, *o)
	}
}

// emptyReply is a stream whose answer is empty.
type emptyReply struct{ boragewick.Stream }

func (emptyReply) Recv(context.Context, any) error { return nil }

// newRolloutFixture returns a leader with five endpoints and one route whose
// next weights are w2.
func newRolloutFixture(t *testing.T, loadErrors map[string]error) (*Control, *fakeAgents, *localLog) {
	t.Helper()
	l := &localLog{machine: &state.Machine{}, leading: true}
	f := &fakeAgents{loadErrors: loadErrors}
	c := &Control{
		Log: l, State: l.machine, Clock: boragewick.SystemClock, Logger: log.NewNopLogger(),
		Agents: f, LoadLimit: 2, LeaseFor: time.Hour,
	}
	f.control = c
	route := boragewick.Object{
		ID: "route_a", Kind: boragewick.KindRoute, Names: boragewick.Names{Path: "/r"},
		Route: &boragewick.Route{Model: "m", Pool: "p", Weights: "w1", NextWeights: "w2"},
	}
	plan := &boragewick.Plan{ID: "plan_a", Expires: time.Now().Add(time.Hour), Changes: []boragewick.Change{{Action: boragewick.ActionCreate, Object: route}}}
	if _, err := c.propose(t.Context(), boragewick.Command{Plan: plan}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.confirm(t.Context(), boragewick.Confirm{Plan: "plan_a"}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"e1", "e2", "e3", "e4", "e5"} {
		e := boragewick.Endpoint{Name: name, Pool: "p", Kind: boragewick.EndpointModel, Models: []boragewick.Model{{Name: "m", Weights: "w1"}}}
		if _, err := c.announce(t.Context(), boragewick.Announcement{Endpoint: e}); err != nil {
			t.Fatal(err)
		}
	}
	return c, f, l
}

func TestAdvanceRollouts(t *testing.T) {
	timeout := errors.Wrap(boragewick.ErrTimeout, "silent")
	refused := boragewick.NotRun(errors.Wrap(boragewick.ErrLinkLost, "no link"))
	failed := errors.Wrap(boragewick.ErrEndpointFailed, "broken weights")
	tests := map[string]struct {
		loadErrors map[string]error
		follower   bool
		// recoverAfter is the time after which no endpoint fails.
		recoverAfter time.Duration
		wantUpgraded int
		wantWeights  string
	}{
		"no fault":                     {wantUpgraded: 5, wantWeights: "w2"},
		"one cannot load":              {loadErrors: map[string]error{"e1": failed}, wantUpgraded: 4, wantWeights: "w2"},
		"one cannot load for a while":  {loadErrors: map[string]error{"e1": failed}, recoverAfter: 20 * time.Second, wantUpgraded: 5, wantWeights: "w2"},
		"the weights are broken":       {loadErrors: map[string]error{"e1": failed, "e2": failed, "e3": failed, "e4": failed, "e5": failed}, wantWeights: "w1"},
		"one hangs":                    {loadErrors: map[string]error{"e1": timeout}, wantUpgraded: 4, wantWeights: "w2"},
		"no link to most for a minute": {loadErrors: map[string]error{"e1": refused, "e2": refused, "e3": refused, "e4": refused}, recoverAfter: time.Minute, wantUpgraded: 5, wantWeights: "w2"},
		"another replica leads":        {follower: true, wantWeights: "w1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, f, l := newRolloutFixture(t, tt.loadErrors)
				l.leading = !tt.follower
				for at := time.Duration(0); at < 5*time.Minute; at += maintenanceInterval {
					if tt.recoverAfter > 0 && at >= tt.recoverAfter {
						f.mu.Lock()
						f.loadErrors = nil
						f.mu.Unlock()
					}
					c.advanceRollouts(t.Context())
					time.Sleep(maintenanceInterval)
					synctest.Wait()
				}
				c.deliveries.Wait()
				upgraded := 0
				for _, e := range c.State.Endpoints() {
					if e.Models[0].Weights == "w2" {
						upgraded++
					}
				}
				weights := c.State.Fleet(time.Now(), 2).Routes["route_a"].Weights
				if upgraded != tt.wantUpgraded || weights != tt.wantWeights || f.maxInProgress > 2 {
					t.Errorf("%d endpoints upgraded, route at %s, %d orders at the same time", upgraded, weights, f.maxInProgress)
				}
				newest := map[string]boragewick.Fencing{}
				for _, o := range f.orders {
					if !newest[o.Endpoint].Less(o.Fencing) {
						t.Errorf("%s got order %+v after %+v", o.Endpoint, o.Fencing, newest[o.Endpoint])
					}
					newest[o.Endpoint] = o.Fencing
				}
			})
		})
	}
}
