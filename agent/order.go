package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// loadTimeout bounds one load report.
const loadTimeout = time.Second

// order carries out an order of the control leader and announces what the
// engine serves then.
func (a *Agent) order(ctx context.Context, o boragewick.Order) (boragewick.OrderOutcome, error) {
	out := boragewick.OrderOutcome{Endpoint: o.Endpoint, Fencing: o.Fencing}
	if a.Orders == nil || o.Endpoint != a.Endpoint.Name {
		return out, boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "no orders for %s here", o.Endpoint))
	}
	if err := a.Orders.Order(ctx, o); err != nil {
		return out, err
	}
	if o.Kind == boragewick.OrderLoad {
		a.loaded(o.Model)
		a.announce(ctx)
	}
	return out, nil
}

// loaded notes that the engine has loaded the model in place of other weights
// of it.
func (a *Agent) loaded(m boragewick.Model) {
	a.mu.Lock()
	defer a.mu.Unlock()
	models := slices.DeleteFunc(slices.Clone(a.Endpoint.Models), func(old boragewick.Model) bool {
		return old == m || old.Name == m.Name && old.Weights != m.Weights
	})
	a.Endpoint.Models = append(models, m)
	a.loadedAt = a.Clock.Now()
}

// refresh takes over what the engine reports to have loaded, such as after a
// restart. A report from before the last order counts for nothing.
func (a *Agent) refresh(ctx context.Context) {
	if a.Reports == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := a.Reports.Load(ctx)
	if err != nil || len(load.Models) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if load.At.After(a.loadedAt) && !slices.Equal(a.Endpoint.Models, load.Models) {
		a.Endpoint.Models = load.Models
	}
}
