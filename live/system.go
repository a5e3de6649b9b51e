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
)

const (
	modelName = "m"
	controls  = 3
	token     = "an-operator-token-of-a-run"
	// batch is the number of requests that an engine runs at once.
	batch = 64
	// cacheBlocks is the size of an engine's cache.
	cacheBlocks = 1500
	// prefill is the time for one prompt token that is not cached.
	prefill = 33 * time.Microsecond
	// decode is the time of one step, and decodeEach what each request adds.
	decode     = 8 * time.Millisecond
	decodeEach = 300 * time.Microsecond
	// eventDelay and eventLoss are the lag and the gaps of cache events.
	eventDelay = 500 * time.Millisecond
	eventLoss  = 0.01
	readyPause = 20 * time.Millisecond
	// drain is short, since nobody waits for the last requests of a run.
	drain = time.Second
)

// system is a deployment in one program.
type system struct {
	dir        string
	deployment *workload.Deployment
	controls   []settings.Replica
	routers    []*node
	agents     []*node
	engines    []*modelengine.Engine
	nodes      []*node
	keys       map[boragewick.ID]string
}

// node is one process, or one stand-in when it has no process.
type node struct {
	settings settings.Settings
	caller   string
	operator string
	process  *process.Process
	end      func()
}

func (s *system) start(ctx context.Context, requests []workload.Request) error {
	for name, text := range map[string]string{"secret": "a-secret-of-sixteen-bytes-or-more", "tokens": "run " + token} {
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
	for n := range controls {
		addr, err := freePort()
		if err != nil {
			return err
		}
		s.controls = append(s.controls, settings.Replica{Name: fmt.Sprintf("control-%d", n), Address: addr})
	}
	for n, c := range s.controls {
		q := s.settings(c.Name, n, settings.ServiceControl)
		q.Links.Listen = c.Address
		q.Instance.Data = filepath.Join(s.dir, c.Name)
		if _, err := s.add(q); err != nil {
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
		CacheBlocks: cacheBlocks, MaxBatch: batch, Prefill: prefill, Decode: decode, DecodeEach: decodeEach,
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
	q := s.settings(fmt.Sprintf("runner-%d", n), n, settings.ServiceAgent)
	q.Agent.Pool = "models"
	q.Agent.Kind = string(boragewick.EndpointModel)
	q.Agent.Models = []string{modelName + "@v1"}
	q.Agent.Batch = batch
	q.Agent.Endpoint = l.Addr().(*net.TCPAddr).AddrPort()
	if q.Links.Listen, err = freePort(); err != nil {
		return err
	}
	agent, err := s.add(q)
	s.agents = append(s.agents, agent)
	return err
}

func (s *system) addRouter(n int) error {
	q := s.settings(fmt.Sprintf("router-%d", n), n, settings.ServiceCaller, settings.ServiceOperator)
	var err error
	if q.Caller.Listen, err = freePort(); err != nil {
		return err
	}
	if q.Operator.Listen, err = freePort(); err != nil {
		return err
	}
	q.Operator.Tokens = filepath.Join(s.dir, "tokens")
	r, err := s.add(q)
	s.routers = append(s.routers, r)
	return err
}

func (s *system) settings(name string, n int, services ...string) settings.Settings {
	q := settings.Default()
	q.Instance.Name = name
	q.Instance.FailureDomain = fmt.Sprintf("domain-%d", n%s.deployment.Domains)
	q.Instance.Region = "region"
	q.Instance.Services = services
	q.Control.Replicas = s.controls
	q.Keys.HashSecret = filepath.Join(s.dir, "secret")
	q.Caller.DrainFor = drain
	return q
}

func (s *system) add(q settings.Settings) (*node, error) {
	n := &node{settings: q}
	s.nodes = append(s.nodes, n)
	return n, n.start()
}

// start runs the node's process; it can be called again after end.
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = service.Run(ctx)
	}()
	n.end = func() {
		cancel()
		<-ended
	}
}

func (s *system) stop() {
	for n := len(s.nodes) - 1; n >= 0; n-- {
		if s.nodes[n].end != nil {
			s.nodes[n].end()
		}
	}
}

func (s *system) client() *operatorclient.Client {
	return &operatorclient.Client{Base: s.routers[0].operator, Token: token}
}

func (s *system) awaitReady(ctx context.Context) error {
	for !s.isReady(ctx) {
		if !sleepUntil(ctx, time.Now().Add(readyPause)) {
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

// configure makes the workspaces of the requests, with rates that are never
// reached, and the route.
func (s *system) configure(ctx context.Context, requests []workload.Request) error {
	var intent strings.Builder
	intent.WriteString("[route /m]\nmodel = m\npool = models\nweights = v1\nrepeatable = true\n")
	s.keys = map[boragewick.ID]string{}
	paths := map[string]boragewick.ID{}
	for _, q := range requests {
		path := "/" + string(q.Workspace)
		if _, ok := paths[path+"/key"]; ok {
			continue
		}
		paths[path+"/key"] = q.Workspace
		fmt.Fprintf(&intent, "[workspace %s]\n[key %s/key]\nworkspace = %s\n[rate %s/rate]\nworkspace = %s\ntokens_per_second = 100000000\nburst = 1000000000\n", path, path, path, path, path)
	}
	reply, err := s.client().Plan(ctx, []byte(intent.String()))
	if err != nil {
		return err
	}
	for _, k := range reply.Keys {
		s.keys[paths[k.Names.Path]] = k.Secret
	}
	d, err := s.client().Confirm(ctx, reply.Plan.ID)
	if err != nil {
		return err
	}
	return s.client().AwaitInForce(ctx, d.Revision)
}

// strike brings the scenario's fault about.
func (s *system) strike(scenario string) {
	for n, e := range s.engines {
		switch {
		case scenario == Crashes && n%4 == 0:
			_ = e.Inject(modelengine.FaultCrash, 1)
		case scenario == Silent && n%4 == 0:
			_ = e.Inject(modelengine.FaultSilence, 1)
		case scenario == DomainLost && n%s.deployment.Domains == 0:
			_ = e.Inject(modelengine.FaultCrash, 1)
			go s.agents[n].end()
		}
	}
	if scenario != Herd {
		return
	}
	for _, r := range s.routers {
		go func() {
			r.end()
			_ = r.start()
		}()
	}
}

// dispatches returns the dispatches for each request over all routers. Routers
// that have restarted count from then on.
func (s *system) dispatches(ctx context.Context) (float64, error) {
	var total, requests float64
	for _, r := range s.routers {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, r.operator+"/metrics", nil)
		if err != nil {
			return 0, err
		}
		w, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0, err
		}
		var counters struct {
			Requests   counter `json:"requests"`
			Dispatches counter `json:"dispatches"`
		}
		err = json.NewDecoder(w.Body).Decode(&counters)
		_ = w.Body.Close()
		if err != nil {
			return 0, err
		}
		total += counters.Dispatches.Count
		requests += counters.Requests.Count
	}
	return total / max(1, requests), nil
}

type counter struct {
	Count float64 `json:"count"`
}

// freePort returns a loopback address that nobody listens on.
func freePort() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Mark(err, boragewick.ErrBadSettings)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}
