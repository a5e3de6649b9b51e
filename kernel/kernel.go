// Package kernel registers the services of a process by name and runs them
// together.
package kernel

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"github.com/boragewick/boragewick"
)

// Kernel is a registry of services that run together: when one ends, all are
// stopped. The zero value is empty. Services are registered before Run.
type Kernel struct {
	Logger   log.Logger
	services []entry
}

type entry struct {
	name    string
	aliases []string
	service boragewick.Service
}

// Register adds the service under the name and its aliases.
func (k *Kernel) Register(name string, s boragewick.Service, aliases ...string) {
	k.services = append(k.services, entry{name, aliases, s})
}

// Find implements boragewick.Services.
func (k *Kernel) Find(name string) (boragewick.Service, error) {
	for _, e := range k.services {
		if e.name == name || slices.Contains(e.aliases, name) {
			return e.service, nil
		}
	}
	return nil, errors.Wrapf(boragewick.ErrUnknownService, "%s", name)
}

// Run runs all services until ctx is done or one has ended, and returns the
// error of the first that ended. Services are stopped in the order in which
// they were registered.
func (k *Kernel) Run(ctx context.Context) error {
	var g run.Group
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	g.Add(func() error {
		<-runCtx.Done()
		return ctx.Err()
	}, func(error) { stop() })
	for _, e := range k.services {
		k.addService(&g, e)
	}
	err := g.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (k *Kernel) addService(g *run.Group, e entry) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	g.Add(func() error {
		defer close(done)
		err := e.service.Run(ctx)
		if err != nil && ctx.Err() == nil {
			return errors.Wrapf(err, "service %s", e.name)
		}
		return err
	}, func(error) {
		cancel()
		<-done
		if k.Logger != nil {
			_ = level.Debug(k.Logger).Log("msg", "service stopped", "service", e.name)
		}
	})
}
