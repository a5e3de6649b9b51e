package dev

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/process"
	"github.com/boragewick/boragewick/settings"
	"github.com/boragewick/boragewick/standin/modelengine"
)

const (
	controlReplicas = 3
	modelEndpoints  = 2
	region          = "loopback"
	// drainTimeout is how long a shutdown waits for running requests to end.
	drainTimeout = 10 * time.Second
)

// buildProcesses registers the processes in the order in which they stop: the
// router, the agents, their stand-ins, the control replicas.
func (d *Dev) buildProcesses() error {
	var controls []settings.Replica
	var listeners []net.Listener
	for n := range controlReplicas {
		l, addr, err := listenLoopback()
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		controls = append(controls, settings.Replica{Name: fmt.Sprintf("control-%d", n+1), Address: addr})
	}
	if err := d.addRouter(controls); err != nil {
		return err
	}
	if err := d.addEndpoints(controls); err != nil {
		return err
	}
	for n, l := range listeners {
		s := d.settings(controls[n].Name, n, controls, settings.ServiceControl)
		s.Instance.Data = d.path(controls[n].Name)
		if err := d.addProcess(&process.Process{Settings: s, LinkListener: l}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Dev) addRouter(controls []settings.Replica) error {
	s := d.settings("router-1", 0, controls, settings.ServiceCaller, settings.ServiceOperator)
	s.Operator.TokensFile = d.path(tokensFile)
	return d.addProcess(&process.Process{Settings: s, CallerListener: d.caller, OperatorListener: d.operator})
}

func (d *Dev) addEndpoints(controls []settings.Replica) error {
	for n := range modelEndpoints {
		name := fmt.Sprintf("model-%d", n+1)
		e := &modelengine.Engine{Models: []boragewick.Model{{Name: "demo-model", Weights: "v1"}}}
		s := d.settings(name, n, controls, settings.ServiceAgent)
		s.Agent.Pool = "models"
		s.Agent.Kind = string(boragewick.EndpointModel)
		s.Agent.Models = []string{"demo-model@v1"}
		if err := d.addEndpoint(s, e); err != nil {
			return err
		}
	}
	s := d.settings("ledger-1", modelEndpoints, controls, settings.ServiceAgent)
	s.Agent.Pool = "ledger"
	s.Agent.Kind = string(boragewick.EndpointPlain)
	return d.addEndpoint(s, &d.ledger)
}

// addEndpoint adds a stand-in and its agent.
func (d *Dev) addEndpoint(s settings.Settings, standin http.Handler) error {
	standinListener, addr, err := listenLoopback()
	if err != nil {
		return err
	}
	s.Agent.Endpoint = addr
	linkListener, _, err := listenLoopback()
	if err != nil {
		return err
	}
	if err := d.addProcess(&process.Process{Settings: s, LinkListener: linkListener}); err != nil {
		return err
	}
	d.kernel.Register(s.Instance.Name+"-standin", &httpserver.Server{
		Listener:      standinListener,
		Handler:       standin,
		DrainTimeout:  time.Second,
		NoReadTimeout: true,
	})
	return nil
}

func (d *Dev) addProcess(p *process.Process) error {
	p.Logger = log.With(d.Logger, "instance", p.Settings.Instance.Name)
	if err := p.Build(); err != nil {
		return errors.Wrapf(err, "%s", p.Settings.Instance.Name)
	}
	d.processes = append(d.processes, p)
	d.kernel.Register(p.Settings.Instance.Name, p)
	return nil
}

// settings returns the settings that all processes share.
func (d *Dev) settings(name string, domainIndex int, controls []settings.Replica, services ...string) settings.Settings {
	s := settings.Default()
	s.Instance.Name = name
	s.Instance.FailureDomain = fmt.Sprintf("%s-%c", region, 'a'+domainIndex)
	s.Instance.Region = region
	s.Instance.Services = services
	s.Control.Replicas = controls
	s.Keys.HashSecretFile = d.path(hashSecretFile)
	s.Caller.DrainTimeout = drainTimeout
	return s
}

// listenLoopback listens on a free port of the loopback address.
func listenLoopback() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Mark(err, boragewick.ErrBadSettings)
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}
