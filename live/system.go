package live

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/workload"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/operatorclient"
	"github.com/boragewick/boragewick/process"
	"github.com/boragewick/boragewick/settings"
	"github.com/boragewick/boragewick/standin/modelengine"
	"github.com/boragewick/boragewick/tcpport"
)

const (
	modelName           = "m"
	controlReplicaCount = 3
	operatorToken       = "an-operator-token-of-a-run"
	// engineBatch is the maximum batch size of an engine.
	engineBatch = 64
	// cacheBlocks is the capacity of an engine's prefix cache in blocks.
	cacheBlocks = 1500
	// prefillTime is the prefill time of one uncached prompt token.
	prefillTime = 33 * time.Microsecond
	// decodeTime is the base duration of a step that decodes;
	// decodeTimePerRequest is added for each request that decodes in it.
	decodeTime           = 8 * time.Millisecond
	decodeTimePerRequest = 300 * time.Microsecond
	// eventDelay is the delay of cache events, eventLoss the fraction that
	// is lost.
	eventDelay        = 500 * time.Millisecond
	eventLoss         = 0.01
	readyPollInterval = 20 * time.Millisecond
	// drainTime is short because no caller waits for a response when the
	// system stops.
	drainTime = time.Second
)

// system is a deployment whose instances all run in one program.
type system struct {
	dir             string
	deployment      *workload.Deployment
	controlReplicas []settings.Replica
	routers         []*node
	agents          []*node
	engines         []*modelengine.Engine
	nodes           []*node
	ports           []*tcpport.Reservation
	keys            map[boragewick.ID]string
}

// node is a process of the system, or an engine stand-in if process is nil.
type node struct {
	settings settings.Settings
	caller   string
	operator string
	process  *process.Process
	stop     func()
}

func (s *system) start(ctx context.Context, requests []workload.Request) error {
	for name, text := range map[string]string{"secret": "a-secret-of-sixteen-bytes-or-more", "tokens": "run " + operatorToken} {
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
			return errors.Mark(err, boragewick.ErrStorage)
		}
	}
	if err := s.startAll(); err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	return s.configure(ctx, requests)
}

func (s *system) startAll() error {
	for n := range controlReplicaCount {
		addr, err := s.reservePort()
		if err != nil {
			return err
		}
		s.controlReplicas = append(s.controlReplicas, settings.Replica{Name: fmt.Sprintf("control-%d", n), Address: addr})
	}
	for n, c := range s.controlReplicas {
		cfg := s.settings(c.Name, n, settings.ServiceControl)
		cfg.Links.Listen = c.Address
		cfg.Instance.Data = filepath.Join(s.dir, c.Name)
		if _, err := s.startNode(cfg); err != nil {
			return err
		}
	}
	for n := range s.deployment.Runners {
		if err := s.addRunner(n); err != nil {
			return err
		}
	}
	for n := range s.deployment.Routers {
		if err := s.addRouter(n); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) addRunner(n int) error {
	e := &modelengine.Engine{
		CacheBlocks: cacheBlocks, MaxBatch: engineBatch, PrefillTimePerToken: prefillTime, DecodeTime: decodeTime, DecodeTimePerRequest: decodeTimePerRequest,
		EventDelay: eventDelay, EventLoss: eventLoss, Seed: uint64(n),
		Models: []boragewick.Model{{Name: modelName, Weights: "v1"}},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Mark(err, boragewick.ErrBadSettings)
	}
	s.engines = append(s.engines, e)
	server := &httpserver.Server{Listener: l, Handler: e, NoReadTimeout: true, ConnContext: e.ConnContext}
	standin := &node{}
	standin.run(server)
	s.nodes = append(s.nodes, standin)
	cfg := s.settings(fmt.Sprintf("runner-%d", n), n, settings.ServiceAgent)
	cfg.Agent.Pool = "models"
	cfg.Agent.Kind = string(boragewick.EndpointModel)
	cfg.Agent.Models = []string{modelName + "@v1"}
	cfg.Agent.Batch = engineBatch
	cfg.Agent.Endpoint = l.Addr().(*net.TCPAddr).AddrPort()
	if cfg.Links.Listen, err = s.reservePort(); err != nil {
		return err
	}
	agent, err := s.startNode(cfg)
	s.agents = append(s.agents, agent)
	return err
}

func (s *system) addRouter(n int) error {
	cfg := s.settings(fmt.Sprintf("router-%d", n), n, settings.ServiceCaller, settings.ServiceOperator)
	var err error
	if cfg.Caller.Listen, err = s.reservePort(); err != nil {
		return err
	}
	if cfg.Operator.Listen, err = s.reservePort(); err != nil {
		return err
	}
	cfg.Operator.TokensFile = filepath.Join(s.dir, "tokens")
	r, err := s.startNode(cfg)
	s.routers = append(s.routers, r)
	return err
}

func (s *system) settings(name string, n int, services ...string) settings.Settings {
	cfg := settings.Default()
	cfg.Instance.Name = name
	cfg.Instance.FailureDomain = fmt.Sprintf("domain-%d", n%s.deployment.Domains)
	cfg.Instance.Region = "region"
	cfg.Instance.Services = services
	cfg.Control.Replicas = s.controlReplicas
	cfg.Keys.HashSecretFile = filepath.Join(s.dir, "secret")
	cfg.Caller.DrainTimeout = drainTime
	return cfg
}

func (s *system) startNode(cfg settings.Settings) (*node, error) {
	n := &node{settings: cfg}
	s.nodes = append(s.nodes, n)
	return n, n.start()
}

// start builds and runs the node's process. It can be called again after stop.
func (n *node) start() error {
	n.process = &process.Process{Settings: n.settings}
	if err := n.process.Build(); err != nil {
		return err
	}
	n.caller = "http://" + n.settings.Caller.Listen.String()
	n.operator = "http://" + n.settings.Operator.Listen.String()
	n.run(n.process)
	return nil
}

func (n *node) run(service boragewick.Service) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = service.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-done
	}
}

func (s *system) stop() {
	for n := len(s.nodes) - 1; n >= 0; n-- {
		if s.nodes[n].stop != nil {
			s.nodes[n].stop()
		}
	}
	for _, r := range s.ports {
		_ = r.Close()
	}
}

func (s *system) client() *operatorclient.Client {
	return &operatorclient.Client{Base: s.routers[0].operator, Token: operatorToken}
}

func (s *system) awaitReady(ctx context.Context) error {
	for !s.isReady(ctx) {
		if !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
			return ctx.Err()
		}
	}
	return nil
}

func (s *system) isReady(ctx context.Context) bool {
	for _, r := range s.routers {
		if r.process.Ready() != nil {
			return false
		}
	}
	status, err := s.client().Status(ctx)
	return err == nil && len(status.Endpoints) == len(s.agents)
}

// configure creates the route and the workspaces of the requests, with rates
// that are never reached, and waits until they are in force.
func (s *system) configure(ctx context.Context, requests []workload.Request) error {
	var intent strings.Builder
	intent.WriteString("[route /m]\nmodel = m\npool = models\nweights = v1\nrepeatable = true\n")
	s.keys = map[boragewick.ID]string{}
	workspaceByKey := map[string]boragewick.ID{}
	for _, r := range requests {
		path := "/" + string(r.Workspace)
		if _, ok := workspaceByKey[path+"/key"]; ok {
			continue
		}
		workspaceByKey[path+"/key"] = r.Workspace
		fmt.Fprintf(&intent, "[workspace %s]\n[key %s/key]\nworkspace = %s\n[rate %s/rate]\nworkspace = %s\ntokens_per_second = 100000000\nburst = 1000000000\n", path, path, path, path, path)
	}
	reply, err := s.client().Plan(ctx, []byte(intent.String()))
	if err != nil {
		return err
	}
	for _, k := range reply.Keys {
		s.keys[workspaceByKey[k.Names.Path]] = k.Secret
	}
	d, err := s.client().Confirm(ctx, reply.Plan.ID)
	if err != nil {
		return err
	}
	return s.client().AwaitInForce(ctx, d.Revision)
}

// injectFault injects the scenario's fault. It doesn't wait for agents and
// routers to stop or restart.
func (s *system) injectFault(scenario string) {
	for n, e := range s.engines {
		switch {
		case scenario == Crashes && n%4 == 0:
			_ = e.Inject(modelengine.FaultCrash, 1)
		case scenario == Silent && n%4 == 0:
			_ = e.Inject(modelengine.FaultSilence, 1)
		case scenario == DomainLost && n%s.deployment.Domains == 0:
			_ = e.Inject(modelengine.FaultCrash, 1)
			go s.agents[n].stop()
		}
	}
	if scenario != Herd {
		return
	}
	for _, r := range s.routers {
		go func() {
			r.stop()
			_ = r.start()
		}()
	}
}

// dispatchesPerRequest returns the average number of dispatches per request
// over all routers. The counters of a restarted router begin at its restart.
func (s *system) dispatchesPerRequest(ctx context.Context) (float64, error) {
	var dispatches, requests float64
	for _, r := range s.routers {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.operator+"/metrics", nil)
		if err != nil {
			return 0, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err
		}
		var counters struct {
			Requests   counter `json:"requests"`
			Dispatches counter `json:"dispatches"`
		}
		err = json.NewDecoder(resp.Body).Decode(&counters)
		_ = resp.Body.Close()
		if err != nil {
			return 0, err
		}
		dispatches += counters.Dispatches.Count
		requests += counters.Requests.Count
	}
	return dispatches / max(1, requests), nil
}

type counter struct {
	Count float64 `json:"count"`
}

// reservePort returns a loopback address that is reserved until the system stops.
func (s *system) reservePort() (netip.AddrPort, error) {
	r, err := tcpport.Reserve()
	if err != nil {
		return netip.AddrPort{}, errors.Mark(err, boragewick.ErrBadSettings)
	}
	s.ports = append(s.ports, r)
	return r.Addr, nil
}
