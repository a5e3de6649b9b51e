package hosting

import (
	"net/http"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/allowance"
	"github.com/boragewick/boragewick/ejector"
	"github.com/boragewick/boragewick/enginefollow"
	"github.com/boragewick/boragewick/gateway"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/mirror"
	"github.com/boragewick/boragewick/placement"
	"github.com/boragewick/boragewick/retry"
	"github.com/boragewick/boragewick/storefollow"
)

const (
	// lingerFor is how long a router that stops still takes connections; the
	// entry asks once a second and turns away after two refusals.
	lingerFor = 2500 * time.Millisecond
	// stopMargin is the time left for the end of the process.
	stopMargin = 700 * time.Millisecond
	// routersShare is the reciprocal of a router's part of what all routers may
	// use together, as no router knows how many there are.
	routersShare = 24
	// retryShare is the part of the deployment's fraction of retries that
	// routers use, so that requests which no router counts fit in as well.
	retryShare = 0.6
)

// buildRouter prepares what serves callers.
func (n *Node) buildRouter() error {
	places := &placement.Placement{}
	engines := &enginefollow.Follower{
		Instance: n.Settings.Name,
		Port:     n.Settings.AgentPort,
		Peers:    n.peers,
		Observe:  places.Observe,
		Logger:   n.Logger,
	}
	ejecting := &placer{Ejector: ejector.Ejector{Selector: places}, places: places, engines: engines}
	m := &mirror.Mirror{
		Instance: n.Settings.Name,
		Seeds:    n.Settings.Seeds,
		Decoder:  n.Decoder,
		Peers:    n.peers,
		Clock:    n.clock,
		Logger:   n.Logger,
		Observer: ejecting,
	}
	n.mirror = m
	rates := allowance.New(m, n.Settings.Name, n.hello.Incarnation, n.clock)
	g := &gateway.Gateway{
		Dialect: n.Dialect,
		View:    m.View,
		InTouch: m.InTouch,
		Placer:  ejecting,
		Reports: ejecting,
		Client:  &n.client,
		Mover:   n.Mover(&n.client),
		Limiter: rates,
		Clock:   n.clock,
		Budget: &retry.Budget{
			Fraction: n.Settings.RetryFraction * retryShare,
			Burst:    max(1, n.Settings.RetryBurst/routersShare),
		},
		WeightsBound: n.Settings.WeightsBound,
		Closing:      n.draining.Load,
		Logger:       n.Logger,
		Metrics:      n.metrics,
	}
	err := n.serve("callers", n.Settings.CallerAddr, &httpserver.Server{
		Handler:   g,
		LingerFor: lingerFor,
		DrainFor:  max(time.Second, n.Settings.Grace-lingerFor-stopMargin),
	})
	if err != nil {
		return err
	}
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.draining.Load() || m.View() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := n.serve("readiness", n.Settings.ReadinessAddr, &httpserver.Server{Handler: ready}); err != nil {
		return err
	}
	n.kernel.Register("rates", rates)
	n.kernel.Register("mirror", m)
	n.kernel.Register("engines", engines)
	n.kernel.Register("stores", &storefollow.Follower{
		Instance: n.Settings.Name,
		Peers:    n.peers,
		Stores:   m.Stores,
		Replicas: m.Replicas,
		Observe:  places.ObserveStore,
		Logger:   n.Logger,
	})
	return nil
}

// placer leaves out failing endpoints and keeps the accounts of the others.
type placer struct {
	ejector.Ejector
	places  *placement.Placement
	engines *enginefollow.Follower
}

// Update implements boragewick.EndpointObserver.
func (p *placer) Update(changes ...boragewick.EndpointChange) {
	p.Ejector.Update(changes...)
	p.engines.Update(changes...)
}

// Begin implements boragewick.Placer.
func (p *placer) Begin(c *boragewick.Candidate, s *boragewick.Selection) boragewick.Flight {
	return p.places.Begin(c, s)
}
