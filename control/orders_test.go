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

// localLog commits each command at once while its replica leads.
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

// fleet carries out orders as its endpoints' agents would.
type fleet struct {
	control *Control
	mu      sync.Mutex
	fails   map[string]error
	given   []boragewick.Order
	open    int
	most    int
}

func (f *fleet) Peer(*boragewick.Endpoint) boragewick.Peer { return f }

func (f *fleet) Open(ctx context.Context, _ string, v any) (boragewick.Stream, error) {
	o := v.(*boragewick.Order)
	f.count(o, 1)
	defer f.count(o, -1)
	time.Sleep(time.Second)
	f.mu.Lock()
	err := f.fails[o.Endpoint]
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
	return done{}, err
}

// count notes that an order is begun or over.
func (f *fleet) count(o *boragewick.Order, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
	f.most = max(f.most, f.open)
	if n > 0 {
		f.given = append(f.given, *o)
	}
}

// done is a stream whose answer is empty.
type done struct{ boragewick.Stream }

func (done) Recv(context.Context, any) error { return nil }

// rolling returns the leader of a fleet of five endpoints whose one route is
// to need w2.
func rolling(t *testing.T, fails map[string]error) (*Control, *fleet, *localLog) {
	t.Helper()
	l := &localLog{machine: &state.Machine{}, leading: true}
	f := &fleet{fails: fails}
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

func TestRoll(t *testing.T) {
	timeout := errors.Wrap(boragewick.ErrTimeout, "silent")
	refused := boragewick.NotRun(errors.Wrap(boragewick.ErrLinkLost, "no link"))
	failed := errors.Wrap(boragewick.ErrEndpointFailed, "broken weights")
	tests := map[string]struct {
		fails    map[string]error
		follower bool
		// mended is when the endpoints stop failing.
		mended  time.Duration
		moved   int
		weights string
	}{
		"no fault":                     {moved: 5, weights: "w2"},
		"one cannot load":              {fails: map[string]error{"e1": failed}, moved: 4, weights: "w2"},
		"one cannot load for a while":  {fails: map[string]error{"e1": failed}, mended: 20 * time.Second, moved: 5, weights: "w2"},
		"the weights are broken":       {fails: map[string]error{"e1": failed, "e2": failed, "e3": failed, "e4": failed, "e5": failed}, weights: "w1"},
		"one hangs":                    {fails: map[string]error{"e1": timeout}, moved: 4, weights: "w2"},
		"no link to most for a minute": {fails: map[string]error{"e1": refused, "e2": refused, "e3": refused, "e4": refused}, mended: time.Minute, moved: 5, weights: "w2"},
		"another replica leads":        {follower: true, weights: "w1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, f, l := rolling(t, tt.fails)
				l.leading = !tt.follower
				for at := time.Duration(0); at < 5*time.Minute; at += sweepInterval {
					if tt.mended > 0 && at >= tt.mended {
						f.mu.Lock()
						f.fails = nil
						f.mu.Unlock()
					}
					c.roll(t.Context())
					time.Sleep(sweepInterval)
					synctest.Wait()
				}
				c.orders.Wait()
				moved := 0
				for _, e := range c.State.Endpoints() {
					if e.Models[0].Weights == "w2" {
						moved++
					}
				}
				weights := c.State.Fleet(time.Now(), 2).Routes["route_a"].Weights
				if moved != tt.moved || weights != tt.weights || f.most > 2 {
					t.Errorf("%d endpoints moved, route at %s, %d orders at once", moved, weights, f.most)
				}
				newest := map[string]boragewick.Fencing{}
				for _, o := range f.given {
					if !newest[o.Endpoint].Less(o.Fencing) {
						t.Errorf("%s got order %+v after %+v", o.Endpoint, o.Fencing, newest[o.Endpoint])
					}
					newest[o.Endpoint] = o.Fencing
				}
			})
		})
	}
}
