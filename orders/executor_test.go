package orders

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/engine"
	"github.com/boragewick/boragewick/standin/modelengine"
	"github.com/boragewick/boragewick/standin/pipenet"
)

// step is a call of SetNewestFencing if fence is zero, and otherwise of Order.
type step struct {
	learn       boragewick.Fencing
	fence       uint64
	number      uint64
	weights     string
	incarnation boragewick.Incarnation
	delay       time.Duration
	want        error
}

func TestOrder(t *testing.T) {
	known := step{learn: boragewick.Fencing{Fence: 5, Number: 3}}
	tests := map[string]struct {
		steps []step
		fault string
		// loaded is the version that the engine serves at the end.
		loaded string
	}{
		"no order before the fencing number is known": {steps: []step{{fence: 9, number: 1, weights: "w2", want: boragewick.ErrFenced}}, loaded: "w1"},
		"the current leader":                          {steps: []step{known, {fence: 5, number: 4, weights: "w2"}}, loaded: "w2"},
		"a newer leader":                              {steps: []step{known, {fence: 6, number: 1, weights: "w2"}}, loaded: "w2"},
		"an old leader":                               {steps: []step{known, {fence: 4, number: 9, weights: "w2", want: boragewick.ErrFenced}}, loaded: "w1"},
		"an old leader after a newer one":             {steps: []step{known, {fence: 6, number: 1, weights: "w2"}, {fence: 5, number: 4, weights: "w1", want: boragewick.ErrFenced}}, loaded: "w2"},
		"an old order delivered late":                 {steps: []step{known, {fence: 5, number: 5, weights: "w3"}, {fence: 5, number: 4, weights: "w2", want: boragewick.ErrFenced}}, loaded: "w3"},
		"a repeated order":                            {steps: []step{known, {fence: 5, number: 4, weights: "w2"}, {fence: 5, number: 4, weights: "w2"}}, loaded: "w2"},
		"for an earlier run of the agent":             {steps: []step{known, {fence: 5, number: 4, weights: "w2", incarnation: "run0", want: boragewick.ErrFenced}}, loaded: "w1"},
		"a newer number learned":                      {steps: []step{known, {learn: boragewick.Fencing{Fence: 7}}, {fence: 6, number: 1, weights: "w2", want: boragewick.ErrFenced}}, loaded: "w1"},
		"an older number learned later":               {steps: []step{known, {learn: boragewick.Fencing{Fence: 4}}, {fence: 4, number: 9, weights: "w2", want: boragewick.ErrFenced}}, loaded: "w1"},
		"overtaken while it waits": {steps: []step{
			known,
			{fence: 5, number: 4, weights: "w2"},
			{fence: 5, number: 5, weights: "w3", delay: 100 * time.Millisecond, want: boragewick.ErrFenced},
			{fence: 6, number: 1, weights: "w4", delay: 200 * time.Millisecond},
		}, loaded: "w4"},
		"the engine crashes": {steps: []step{
			known,
			{fence: 5, number: 4, weights: "w2", want: boragewick.ErrEndpointFailed},
			{fence: 5, number: 5, weights: "w3", delay: time.Second},
		}, fault: modelengine.FaultCrash, loaded: "w3"},
		"the engine goes silent": {steps: []step{
			known,
			{fence: 5, number: 4, weights: "w2", want: boragewick.ErrTimeout},
			{fence: 6, number: 1, weights: "w3", delay: 30 * time.Second},
		}, fault: modelengine.FaultSilence, loaded: "w3"},
	}
	for name, tt := range tests {
		for _, fences := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := &modelengine.Engine{Models: []boragewick.Model{{Name: "m", Weights: "w1"}}, IgnoreFencing: !fences}
					c := startEngine(t, e)
					x := &Executor{Engine: c, EngineFences: fences, Incarnation: "run1"}
					if tt.fault != "" {
						time.AfterFunc(500*time.Millisecond, func() { _ = e.Inject(tt.fault, 1) })
					}
					var group sync.WaitGroup
					for _, s := range tt.steps {
						if s.fence == 0 {
							x.SetNewestFencing(s.learn)
							continue
						}
						group.Go(func() { s.check(t, x) })
						synctest.Wait()
						if s.delay == 0 && tt.fault == "" && name != "overtaken while it waits" {
							group.Wait()
						}
					}
					group.Wait()
					load, err := c.Load(t.Context())
					if err != nil || len(load.Models) != 1 || load.Models[0].Weights != tt.loaded {
						t.Errorf("engine has %v, %v, want %s", load.Models, err, tt.loaded)
					}
				})
			})
		}
	}
}

func (s step) check(t *testing.T, x *Executor) {
	time.Sleep(s.delay)
	incarnation := s.incarnation
	if incarnation == "" {
		incarnation = x.Incarnation
	}
	err := x.Order(t.Context(), boragewick.Order{
		Fencing: boragewick.Fencing{Fence: s.fence, Number: s.number}, Incarnation: incarnation, Kind: boragewick.OrderLoad,
		Model: boragewick.Model{Name: "m", Weights: s.weights}, Deadline: time.Now().Add(20 * time.Second),
	})
	if !errors.Is(err, s.want) {
		t.Errorf("order %d of %d: %v, want %v", s.number, s.fence, err, s.want)
	}
	if errors.Is(s.want, boragewick.ErrFenced) && !errors.Is(err, boragewick.ErrNotRun) {
		t.Errorf("order %d of %d: %v is not marked not run", s.number, s.fence, err)
	}
}

func startEngine(t *testing.T, e *modelengine.Engine) *engine.Client {
	t.Helper()
	l := &pipenet.Listener{}
	server := &http.Server{Handler: e, ConnContext: e.ConnContext}
	go func() { _ = server.Serve(l) }()
	c := &engine.Client{}
	c.Endpoint, c.Dial = netip.MustParseAddrPort("127.0.0.1:1"), l.Dial
	t.Cleanup(func() {
		_ = server.Close()
		_ = e.Close()
	})
	return c
}

// TestUnknownOutcome sends an order after one whose outcome is unknown. It is
// delayed unless the engine checks fencing numbers.
func TestUnknownOutcome(t *testing.T) {
	for name, tt := range map[string]struct {
		fences bool
		wait   time.Duration
	}{
		"the engine checks fencing numbers":  {true, 0},
		"the engine ignores fencing numbers": {false, settleSeconds * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var orderedAt []time.Time
				taker := boragewick.OrderTakerFunc(func(context.Context, boragewick.Order) error {
					orderedAt = append(orderedAt, time.Now())
					return boragewick.ErrTimeout
				})
				x := &Executor{Engine: taker, EngineFences: tt.fences}
				x.SetNewestFencing(boragewick.Fencing{})
				for n := range uint64(2) {
					_ = x.Order(t.Context(), boragewick.Order{Fencing: boragewick.Fencing{Number: n}, Deadline: time.Now().Add(time.Minute)})
				}
				if len(orderedAt) != 2 || orderedAt[1].Sub(orderedAt[0]) != tt.wait {
					t.Errorf("orders at %v, want %s between", orderedAt, tt.wait)
				}
			})
		})
	}
}
