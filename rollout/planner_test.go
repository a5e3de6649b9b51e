package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

var (
	now            = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	oldModel       = boragewick.Model{Name: "m", Weights: "w1"}
	newModel       = boragewick.Model{Name: "m", Weights: "w2"}
	adapterModel   = boragewick.Model{Name: "m", Weights: "w1", Adapter: "a"}
	unrelatedModel = boragewick.Model{Name: "m", Weights: "w0"}
)

// endpoints returns one endpoint for each model, in domains a, b, c in turn.
func endpoints(models ...boragewick.Model) []boragewick.Endpoint {
	all := make([]boragewick.Endpoint, len(models))
	for i, m := range models {
		all[i] = boragewick.Endpoint{
			Name: fmt.Sprintf("e%d", i), Pool: "p", Kind: boragewick.EndpointModel,
			FailureDomain: string(rune('a' + i%3)), Models: []boragewick.Model{m}, Incarnation: "run1",
		}
	}
	return all
}

func order(endpoint string, deadline time.Duration) boragewick.Order {
	return boragewick.Order{Endpoint: endpoint, Incarnation: "run1", Kind: boragewick.OrderLoad, Model: newModel, Deadline: now.Add(deadline)}
}

func TestNext(t *testing.T) {
	route := boragewick.Route{Model: "m", Pool: "p", Weights: "w1"}
	upgradedRoute := boragewick.Route{Model: "m", Pool: "p", Weights: "w2"}
	failure := func(name string, retry time.Duration) boragewick.LoadFailure {
		return boragewick.LoadFailure{Endpoint: name, RetryAt: now.Add(retry)}
	}
	tests := map[string]struct {
		endpoints []boragewick.Endpoint
		routes    []boragewick.Route
		rollout   boragewick.Rollout
		open      []boragewick.Order
		limit     int
		orders    []string
		switched  bool
		done      bool
		blocked   error
	}{
		"three loads in three failure domains":  {endpoints: endpoints(oldModel, oldModel, oldModel, oldModel, oldModel), limit: 3, orders: []string{"e0", "e1", "e2"}, blocked: boragewick.ErrTooManyLoads},
		"load limit of two":                     {endpoints: endpoints(oldModel, oldModel, oldModel, oldModel), limit: 2, orders: []string{"e0", "e1"}, blocked: boragewick.ErrTooManyLoads},
		"one endpoint stays ready":              {endpoints: endpoints(oldModel, oldModel), limit: 3, orders: []string{"e0"}, blocked: boragewick.ErrLastReady},
		"a single endpoint gets no order":       {endpoints: endpoints(oldModel), limit: 3, blocked: boragewick.ErrLastReady},
		"open loads count":                      {endpoints: endpoints(oldModel, oldModel, oldModel, oldModel), open: []boragewick.Order{order("e0", 1), order("e3", 1)}, limit: 3, orders: []string{"e1"}, blocked: boragewick.ErrTooManyLoads},
		"loads past their deadline don't count": {endpoints: endpoints(oldModel, oldModel, oldModel, oldModel), open: []boragewick.Order{order("e0", 0), order("e3", 0)}, limit: 2, orders: []string{"e0", "e1"}, blocked: boragewick.ErrTooManyLoads},
		"loads of other pools count":            {endpoints: endpoints(oldModel, oldModel, oldModel), open: []boragewick.Order{order("x1", 1), order("x2", 1)}, limit: 2, blocked: boragewick.ErrTooManyLoads},
		"half of the pool upgraded":             {endpoints: endpoints(newModel, newModel, oldModel, oldModel), limit: 3, orders: []string{"e3"}, switched: true, blocked: boragewick.ErrLastReady},
		"remaining endpoints after the switch":  {endpoints: endpoints(newModel, newModel, oldModel, oldModel), routes: []boragewick.Route{upgradedRoute}, limit: 3, orders: []string{"e3", "e2"}},
		"former version still required":         {endpoints: endpoints(newModel, newModel, oldModel), routes: []boragewick.Route{upgradedRoute}, rollout: boragewick.Rollout{From: oldModel, Switched: now.Add(-9 * time.Second)}, limit: 3, blocked: boragewick.ErrLastReady},
		"former version no longer required":     {endpoints: endpoints(newModel, newModel, oldModel), routes: []boragewick.Route{upgradedRoute}, rollout: boragewick.Rollout{From: oldModel, Switched: now.Add(-10 * time.Second)}, limit: 3, orders: []string{"e2"}},
		"last endpoint of another route":        {endpoints: endpoints(newModel, newModel, oldModel), routes: []boragewick.Route{upgradedRoute, route}, limit: 3, blocked: boragewick.ErrLastReady},
		"over":                                  {endpoints: endpoints(newModel, newModel), routes: []boragewick.Route{upgradedRoute}, limit: 3, done: true},
		"restarted with old weights":            {endpoints: endpoints(newModel, newModel, oldModel), routes: []boragewick.Route{upgradedRoute}, open: []boragewick.Order{order("e2", 0)}, limit: 3, orders: []string{"e2"}},
		"one endpoint failed":                   {endpoints: endpoints(oldModel, oldModel, oldModel), rollout: boragewick.Rollout{Failures: []boragewick.LoadFailure{failure("e0", 1)}}, limit: 3, orders: []string{"e1", "e2"}},
		"one endpoint failed, retry due":        {endpoints: endpoints(oldModel, oldModel, oldModel), rollout: boragewick.Rollout{Failures: []boragewick.LoadFailure{failure("e0", 0)}}, limit: 1, orders: []string{"e0"}, blocked: boragewick.ErrTooManyLoads},
		"one endpoint failed twice":             {endpoints: endpoints(oldModel, oldModel, oldModel), rollout: boragewick.Rollout{Failures: []boragewick.LoadFailure{failure("e0", 0), failure("e0", 1)}}, limit: 3, orders: []string{"e1", "e2"}},
		"two endpoints failed":                  {endpoints: endpoints(oldModel, oldModel, oldModel), rollout: boragewick.Rollout{Failures: []boragewick.LoadFailure{failure("e0", 0), failure("e1", 0)}}, limit: 3, blocked: boragewick.ErrEndpointFailed},
		"two endpoints refused":                 {endpoints: endpoints(oldModel, oldModel, oldModel), rollout: boragewick.Rollout{Failures: []boragewick.LoadFailure{{Endpoint: "e0", Refused: true}, {Endpoint: "e1", Refused: true}}}, limit: 1, orders: []string{"e0"}, blocked: boragewick.ErrTooManyLoads},
		"adapter keeps the base weights":        {endpoints: endpoints(oldModel), rollout: boragewick.Rollout{Target: adapterModel}, limit: 3, orders: []string{"e0"}},
		"no endpoint serves the route":          {endpoints: endpoints(unrelatedModel, unrelatedModel), limit: 3, orders: []string{"e0", "e1"}},
		"empty pool":                            {limit: 3, blocked: boragewick.ErrNoEndpoint},
		"unknown route":                         {rollout: boragewick.Rollout{Route: "none"}, limit: 3, blocked: boragewick.ErrUnknownRoute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := &boragewick.Fleet{Now: now, Endpoints: tt.endpoints, Routes: map[boragewick.ID]*boragewick.Route{}, Open: tt.open, LoadLimit: tt.limit}
			if tt.routes == nil {
				tt.routes = []boragewick.Route{route}
			}
			for i := range tt.routes {
				f.Routes[boragewick.ID(fmt.Sprint(i))] = &tt.routes[i]
			}
			if tt.rollout.Route == "" {
				tt.rollout.Route = "0"
			}
			if tt.rollout.Target == (boragewick.Model{}) {
				tt.rollout.Target = newModel
			}
			f.Rollouts = []boragewick.Rollout{tt.rollout}
			step := Planner{}.Next(f)
			var orders []string
			for _, o := range step.Orders {
				orders = append(orders, o.Endpoint)
			}
			if !slices.Equal(orders, tt.orders) || len(step.Switch) == 1 != tt.switched || len(step.Done) == 1 != tt.done {
				t.Errorf("orders %v, switch %v, done %v", orders, step.Switch, step.Done)
			}
			if err := step.Blocked[tt.rollout.Route]; !errors.Is(err, tt.blocked) {
				t.Errorf("blocked by %v, want %v", err, tt.blocked)
			}
		})
	}
}

// TestRolloutFaults simulates seeded rollouts in which orders are lost and
// endpoints restart, so that their loads fail, and checks the limits after every
// step.
func TestRolloutFaults(t *testing.T) {
	tests := map[string]struct {
		endpoints, limit      int
		lossRate, restartRate float64
	}{
		"three failure domains":                 {10, 2, 0, 0},
		"twenty endpoints, load limit of three": {20, 3, 0, 0},
		"lost orders":                           {20, 3, 0.3, 0},
		"restarts":                              {10, 2, 0, 0.05},
		"lost orders, restarts":                 {10, 2, 0.3, 0.05},
		"two endpoints, lost orders, restarts":  {2, 3, 0.3, 0.02},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				rnd := rand.New(rand.NewPCG(seed, 1))
				route := &boragewick.Route{Model: "m", Pool: "p", Weights: "w1"}
				f := &boragewick.Fleet{
					Now: now, Endpoints: endpoints(slices.Repeat([]boragewick.Model{oldModel}, tt.endpoints)...),
					Routes: map[boragewick.ID]*boragewick.Route{"r": route}, LoadLimit: tt.limit,
					Rollouts: []boragewick.Rollout{{Route: "r", Target: newModel, From: oldModel}},
				}
				for step := 0; ; step++ {
					if step == 10_000 {
						t.Fatalf("seed %d: the rollout never ends", seed)
					}
					s := Planner{}.Next(f)
					if len(s.Done) == 1 {
						break
					}
					if len(s.Switch) == 1 {
						route.Weights = newModel.Weights
						f.Rollouts[0].Switched = f.Now
					}
					f.Open = append(f.Open, s.Orders...)
					if len(f.Open) > tt.limit {
						t.Fatalf("seed %d: %d loads at once", seed, len(f.Open))
					}
					ready := slices.ContainsFunc(f.Endpoints, func(e boragewick.Endpoint) bool {
						return e.Serves(route) && !slices.ContainsFunc(f.Open, func(o boragewick.Order) bool { return o.Endpoint == e.Name })
					})
					if !ready && tt.restartRate == 0 {
						t.Fatalf("seed %d: no endpoint is ready", seed)
					}
					f.Now = f.Now.Add(time.Second)
					f.Open = slices.DeleteFunc(f.Open, func(o boragewick.Order) bool {
						if rnd.Float64() < tt.lossRate {
							return !f.Now.Before(o.Deadline)
						}
						i := slices.IndexFunc(f.Endpoints, func(e boragewick.Endpoint) bool { return e.Name == o.Endpoint })
						if f.Endpoints[i].Incarnation == o.Incarnation {
							f.Endpoints[i].Models = []boragewick.Model{o.Model}
						}
						return true
					})
					for i := range f.Endpoints {
						if rnd.Float64() < tt.restartRate {
							f.Endpoints[i].Incarnation = boragewick.Incarnation(fmt.Sprint(step))
							f.Endpoints[i].Models = []boragewick.Model{oldModel}
						}
					}
				}
			}
		})
	}
}
