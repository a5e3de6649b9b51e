package process

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/operatorclient"
	"github.com/boragewick/boragewick/settings"
	"github.com/boragewick/boragewick/standin/modelengine"
	"github.com/boragewick/boragewick/standin/plainservice"
	"github.com/boragewick/boragewick/tcpport"
)

const (
	operatorToken = "an-operator-token-of-a-test"
	// pollPause is the time between two checks of a condition.
	pollPause = 10 * time.Millisecond
)

// fleet is a deployment whose processes run in the test program and talk over
// loopback sockets.
type fleet struct {
	testing.TB
	network   *network
	dir       string
	controls  []settings.Replica
	instances map[string]*instance
	routers   []*instance
	ledger    plainservice.Service
	key       string
}

// instance is a process of the fleet that can be stopped and restarted.
type instance struct {
	fleet    *fleet
	settings settings.Settings
	caller   string
	operator string
	process  *Process
	stop     func()
}

// newFleet starts three control replicas, the routers, one model endpoint and
// one plain service, with a workspace that has a key and a rate.
func newFleet(tb testing.TB, routers int) *fleet {
	tb.Helper()
	f := &fleet{TB: tb, network: newNetwork(), dir: tb.TempDir(), instances: map[string]*instance{}}
	f.write("secret", "a-secret-of-sixteen-bytes-or-more")
	f.write("tokens", "ann "+operatorToken+"\nben another-"+operatorToken+"\n")
	for n := range 3 {
		f.controls = append(f.controls, settings.Replica{Name: fmt.Sprintf("control-%d", n), Address: f.reservePort()})
	}
	for n, c := range f.controls {
		s := f.settings(c.Name, n, settings.ServiceControl)
		s.Links.Listen = c.Address
		s.Instance.Data = filepath.Join(f.dir, c.Name)
		f.network.registerName(c.Address, c.Name)
		f.start(s)
	}
	f.endpoint("model-0", boragewick.EndpointModel, &modelengine.Engine{DecodeTime: time.Millisecond})
	f.endpoint("ledger-0", boragewick.EndpointPlain, &f.ledger)
	for n := range routers {
		s := f.settings(fmt.Sprintf("router-%d", n), n, settings.ServiceCaller, settings.ServiceOperator)
		s.Caller.Listen = f.reservePort()
		s.Operator.Listen = f.reservePort()
		f.routers = append(f.routers, f.start(s))
	}
	f.await("every process is ready", f.ready)
	f.key = f.apply(f.routers[0], "[workspace /a]\n[key /a/key]\nworkspace = /a\n"+
		"[rate /a/rate]\nworkspace = /a\ntokens_per_second = 1000000\nburst = 10000000\n"+
		"[route /m]\nmodel = m\npool = models\nweights = v1\nrepeatable = true\n"+
		"[route /ledger]\nprefix = /ledger\npool = ledger\n"+
		"[route /open]\nprefix = /open\npool = ledger\nrepeatable = true\nopen = true\n").Keys[0].Secret
	f.await("the key is in force", func() bool {
		return !slices.ContainsFunc(f.routers, func(r *instance) bool { return r.listModels(f.key) != http.StatusOK })
	})
	return f
}

func (f *fleet) write(name, text string) {
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
		f.Fatal(err)
	}
}

// reservePort returns a loopback address that is reserved until the test ends.
func (f *fleet) reservePort() netip.AddrPort {
	r, err := tcpport.Reserve()
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = r.Close() })
	return r.Addr
}

func (f *fleet) settings(name string, domain int, services ...string) settings.Settings {
	s := settings.Default()
	s.Instance.Name = name
	s.Instance.FailureDomain = fmt.Sprintf("domain-%d", domain%3)
	s.Instance.Region = "region"
	s.Instance.Services = services
	s.Control.Replicas = f.controls
	s.Keys.HashSecretFile = filepath.Join(f.dir, "secret")
	s.Operator.TokensFile = filepath.Join(f.dir, "tokens")
	return s
}

func (f *fleet) endpoint(name string, kind boragewick.EndpointKind, h http.Handler) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &httpserver.Server{Listener: l, Handler: h, NoReadTimeout: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	f.Cleanup(func() {
		cancel()
		<-done
	})
	s := f.settings(name, 0, settings.ServiceAgent)
	s.Links.Listen = f.reservePort()
	s.Agent.Endpoint = l.Addr().(*net.TCPAddr).AddrPort()
	s.Agent.Kind = string(kind)
	s.Agent.Pool = "ledger"
	if kind == boragewick.EndpointModel {
		s.Agent.Pool = "models"
		s.Agent.Models = []string{"m@v1"}
	}
	f.network.registerName(s.Links.Listen, name)
	f.start(s)
}

// start starts a process that runs until its instance is stopped, at the latest
// at the end of the test.
func (f *fleet) start(s settings.Settings) *instance {
	f.Helper()
	n := f.instances[s.Instance.Name]
	if n == nil {
		n = &instance{fleet: f, settings: s}
		f.instances[s.Instance.Name] = n
		f.Cleanup(func() { n.stop() })
	}
	n.start()
	return n
}

func (n *instance) start() {
	n.fleet.Helper()
	n.process = &Process{Settings: n.settings, Dialer: n.fleet.network.dialer(n.settings.Instance.Name)}
	if err := n.process.Build(); err != nil {
		n.fleet.Fatal(err)
	}
	n.caller = "http://" + n.settings.Caller.Listen.String()
	n.operator = "http://" + n.settings.Operator.Listen.String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.process.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-done
	}
}

func (f *fleet) ready() bool {
	for _, n := range f.instances {
		if n.process.Ready() != nil {
			return false
		}
	}
	s, err := f.client(f.routers[0], "").Status(context.Background())
	return err == nil && len(s.Endpoints) == 2
}

// await polls until the condition holds or the test's context is done.
func (f *fleet) await(what string, ok func() bool) {
	f.Helper()
	for !ok() {
		if f.Context().Err() != nil {
			f.Fatalf("the test ended before the condition held: %s", what)
		}
		time.Sleep(pollPause)
	}
}

// client returns a client of the router's operator API. The prefix selects the
// operator's token: none for ann, "another-" for ben.
func (f *fleet) client(n *instance, prefix string) *operatorclient.Client {
	return &operatorclient.Client{Base: n.operator, Token: prefix + operatorToken}
}

// apply plans and confirms the intent through the router.
func (f *fleet) apply(n *instance, intent string) boragewick.PlanReply {
	f.Helper()
	c := f.client(n, "")
	reply, err := c.Plan(context.Background(), []byte(intent))
	if err != nil {
		f.Fatal(err)
	}
	if _, err := c.Confirm(context.Background(), reply.Plan.ID); err != nil {
		f.Fatal(err)
	}
	return reply
}

// answer is the response to a caller's request.
type answer struct {
	status  int
	outcome string
	text    string
}

func (n *instance) post(path, key, idempotencyKey, body string) answer {
	return n.request(path, key, idempotencyKey, body, nil)
}

// stream sends a chat completion request. It closes started when the response
// header has arrived or the request has failed.
func (n *instance) stream(key, body string, started chan struct{}) answer {
	return n.request("/v1/chat/completions", key, "", body, started)
}

func (n *instance) request(path, key, idempotencyKey, body string, started chan struct{}) answer {
	r, err := http.NewRequest(http.MethodPost, n.caller+path, strings.NewReader(body))
	if err != nil {
		return answer{text: err.Error()}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	w, err := http.DefaultClient.Do(r)
	if started != nil {
		close(started)
	}
	if err != nil {
		return answer{text: err.Error()}
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		return answer{status: -1, text: string(text) + err.Error()}
	}
	return answer{w.StatusCode, w.Header.Get(boragewick.OutcomeHeader), string(text)}
}

const chat = `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`

func (n *instance) chat(key string) answer { return n.post("/v1/chat/completions", key, "", chat) }

// leader returns the control replica that leads, once there is one.
func (f *fleet) leader() *instance {
	f.Helper()
	var name string
	f.await("a leader", func() bool {
		s, err := f.client(f.routers[0], "").Status(context.Background())
		name = s.Log.Leader
		return err == nil && name != ""
	})
	return f.instances[name]
}
