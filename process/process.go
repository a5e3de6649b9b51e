// Package process builds the services that a process's settings name and
// connects them to each other.
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

// Process is one process of a deployment. Listeners that are set before Build
// are used instead of the addresses in the settings.
type Process struct {
	Settings settings.Settings
	Logger   log.Logger
	Clock    boragewick.Clock
	// LinkListener, CallerListener and OperatorListener may be nil.
	LinkListener     net.Listener
	CallerListener   net.Listener
	OperatorListener net.Listener
	// Dialer opens the connections of links; nil means WebSockets over TCP.
	Dialer boragewick.Dialer

	kernel      kernel.Kernel
	metrics     metrics.Registry
	meter       burn.Meter
	traces      trace.Ring
	hello       boragewick.Hello
	transport   ws.Transport
	linkTLS     *tls.Config
	server      *linkserver.Server
	leader      boragewick.Peer
	replicas    []boragewick.Peer
	readyChecks []func() error
	draining    atomic.Bool
}

// Build creates the services. The error is ErrBadSettings or ErrStorage.
func (p *Process) Build() error {
	p.init()
	if err := p.loadCertificates(); err != nil {
		return err
	}
	p.connectControl()
	builders := []struct {
		service string
		build   func() error
	}{
		{settings.ServiceCaller, p.buildCaller},
		{settings.ServiceOperator, p.buildOperator},
		{settings.ServiceAgent, p.buildAgent},
		{settings.ServiceControl, p.buildControl},
	}
	for _, b := range builders {
		if !p.Settings.Runs(b.service) {
			continue
		}
		if err := b.build(); err != nil {
			return errors.Wrapf(err, "service %s", b.service)
		}
	}
	return p.buildLinkServer()
}

// Run runs the services until ctx is done, then drains and stops them.
func (p *Process) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.draining.Store(true) })
	defer stop()
	return p.kernel.Run(ctx)
}

// Ready returns nil if the process is not draining and all its services are
// ready.
func (p *Process) Ready() error {
	if p.draining.Load() {
		return errors.Wrapf(boragewick.ErrDraining, "%s", p.hello.Instance)
	}
	for _, f := range p.readyChecks {
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

// listener returns given if it is set and otherwise listens on addr.
func listener(given net.Listener, addr string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", addr)
	return l, errors.Mark(err, boragewick.ErrBadSettings)
}

// controlPingInterval is the idle time after which a link to a control replica is
// pinged.
const controlPingInterval = 5 * time.Second

// link returns a link to the control replica. It is dialled on use, not here.
func (p *Process) link(r settings.Replica) *link.Link {
	return &link.Link{Addr: r.Address, Dialer: p.Dialer, Hello: p.hello, Settings: boragewick.LinkSettings{PingInterval: controlPingInterval}}
}
