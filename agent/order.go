package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// loadReportTimeout bounds one request for a load report.
const loadReportTimeout = time.Second

// order executes an order of the control leader. After a load order, it announces
// the models that the engine serves.
func (a *Agent) order(ctx context.Context, o boragewick.Order) (boragewick.OrderOutcome, error) {
	out := boragewick.OrderOutcome{Endpoint: o.Endpoint, Fencing: o.Fencing}
	if a.Orders == nil || o.Endpoint != a.Endpoint.Name {
		return out, boragewick.NotRun(errors.Wrapf(boragewick.ErrNoEndpoint, "no orders for %s here", o.Endpoint))
	}
	if err := a.Orders.Order(ctx, o); err != nil {
		return out, err
	}
	if o.Kind == boragewick.OrderLoad {
		a.recordLoaded(o.Model)
		a.announce(ctx)
	}
	return out, nil
}

// recordLoaded records that the engine has loaded the model. Entries for other
// weights of the same model are removed.
func (a *Agent) recordLoaded(m boragewick.Model) {
	a.mu.Lock()
	defer a.mu.Unlock()
	models := slices.DeleteFunc(slices.Clone(a.Endpoint.Models), func(old boragewick.Model) bool {
		return old == m || old.Name == m.Name && old.Weights != m.Weights
	})
	a.Endpoint.Models = append(models, m)
	a.loadedAt = a.Clock.Now()
}

// refreshModels adopts the models that the engine reports as loaded, which may
// differ after a restart. It ignores reports taken before the last load order.
func (a *Agent) refreshModels(ctx context.Context) {
	if a.LoadReporter == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	load, err := a.LoadReporter.Load(ctx)
	if err != nil || len(load.Models) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if load.At.After(a.loadedAt) && !slices.Equal(a.Endpoint.Models, load.Models) {
		a.Endpoint.Models = load.Models
	}
}
