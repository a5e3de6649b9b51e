// Package process builds the services that a process's settings name and lets
// them find each other.
package process

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/burn"
	"github.com/boragewick/boragewick/kernel"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/settings"
	"github.com/boragewick/boragewick/trace"
	"github.com/boragewick/boragewick/ws"
)

// Process is one process of the system. Listeners that are set before Build
// are used in place of the addresses in the settings.
type Process struct {
	Settings settings.Settings
	Logger   log.Logger
	Clock    boragewick.Clock
	// LinkListener, CallerListener and OperatorListener may be nil.
	LinkListener     net.Listener
	CallerListener   net.Listener
	OperatorListener net.Listener
	// Dialer makes the links' connections; nil means WebSockets over TCP.
	Dialer boragewick.Dialer

	kernel    kernel.Kernel
	metrics   metrics.Registry
	meter     burn.Meter
	traces    trace.Ring
	hello     boragewick.Hello
	transport ws.Transport
	linkTLS   *tls.Config
	server    *linkserver.Server
	leader    boragewick.Peer
	replicas  []boragewick.Peer
	ready     []func() error
	draining  atomic.Bool
}

// Build prepares the services. The error is ErrBadSettings or ErrStorage.
func (p *Process) Build() error {
	p.init()
	if err := p.loadCertificates(); err != nil {
		return err
	}
	p.connectControl()
	parts := []struct {
		service string
		build   func() error
	}{
		{settings.ServiceCaller, p.buildCaller},
		{settings.ServiceOperator, p.buildOperator},
		{settings.ServiceAgent, p.buildAgent},
		{settings.ServiceControl, p.buildControl},
	}
	for _, part := range parts {
		if !p.Settings.Runs(part.service) {
			continue
		}
		if err := part.build(); err != nil {
			return errors.Wrapf(err, "service %s", part.service)
		}
	}
	return p.buildLinkServer()
}

// Run runs the services until ctx is done and they have drained.
func (p *Process) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.draining.Store(true) })
	defer stop()
	return p.kernel.Run(ctx)
}

// Ready returns nil once every service can do its work.
func (p *Process) Ready() error {
	if p.draining.Load() {
		return errors.Wrapf(boragewick.ErrDraining, "%s", p.hello.Instance)
	}
	for _, f := range p.ready {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Process) init() {
	if p.Logger == nil {
		p.Logger = log.NewNopLogger()
	}
	if p.Clock == nil {
		p.Clock = boragewick.SystemClock
	}
	p.metrics = metrics.NewRegistry()
	p.meter.Objectives = boragewick.Objectives{
		FirstTokenWithin:    p.Settings.Report.FirstTokenWithin,
		BetweenTokensWithin: p.Settings.Report.BetweenTokensWithin,
	}
	p.kernel.Logger = p.Logger
	i := p.Settings.Instance
	p.hello = boragewick.Hello{
		Instance:    i.Name,
		Domain:      i.FailureDomain,
		Role:        i.Services[0],
		Incarnation: boragewick.NewIncarnation(),
	}
	p.transport = ws.Transport{InsecureOK: p.Settings.Links.InsecureOK}
	if p.Dialer == nil {
		p.Dialer = &p.transport
	}
	p.server = &linkserver.Server{Hello: p.hello, Logger: p.Logger}
}

// listener returns the one that was handed in or listens on the address.
func listener(given net.Listener, addr string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Mark(err, boragewick.ErrBadSettings)
}

// controlPing is how long a link to control may be quiet before a ping.
const controlPing = 5 * time.Second

// link returns a link that is dialled when it is used.
func (p *Process) link(r settings.Replica) *link.Link {
	return &link.Link{Addr: r.Address, Dialer: p.Dialer, Hello: p.hello, Settings: boragewick.LinkSettings{PingEvery: controlPing}}
}
