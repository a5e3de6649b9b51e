package hosting

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/platform"
	"github.com/boragewick/boragewick/upstream"
)

const (
	linkPort     = 7600
	operatorPort = 7620
	callerPort   = 7621
	readyPort    = 7622
	enginePort   = 7623
)

// maxNodes is the largest number of nodes of a deployment.
const maxNodes = 40

// deployment runs nodes, each on its own loopback address.
type deployment struct {
	t      *testing.T
	subnet byte
	root   string
	mu     sync.Mutex
	nodes  map[int]*runningNode
}

// runningNode is a started node.
type runningNode struct {
	*Node
	cancel context.CancelFunc
	done   chan struct{}
}

// subnets hands out loopback subnets, so that no two tests share addresses.
var subnets = make(chan byte, 200)

func init() {
	for i := range byte(200) {
		subnets <- i + 1
	}
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, subnet: <-subnets, root: t.TempDir(), nodes: map[int]*runningNode{}}
	t.Cleanup(func() {
		for i := range maxNodes {
			d.stop(i)
		}
	})
	return d
}

func (d *deployment) ip(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(40 + os.Getpid()%80), d.subnet, byte(i + 1)})
}

func (d *deployment) addr(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(d.ip(i), port)
}

// start runs node i as a control replica, a router or both.
func (d *deployment) start(i int, control, callers, first bool) {
	d.t.Helper()
	s := d.settings(i, control, callers, first)
	if control {
		s.DataDir = filepath.Join(d.root, fmt.Sprint(i))
	}
	d.run(i, s)
}

// startDiskless runs node i as a control process that has no disk.
func (d *deployment) startDiskless(i int) {
	d.t.Helper()
	d.run(i, d.settings(i, true, false, false))
}

// settings returns the settings of node i without a data folder.
func (d *deployment) settings(i int, control, callers, first bool) boragewick.NodeSettings {
	return boragewick.NodeSettings{
		Name: fmt.Sprint("node-", i), FailureDomain: fmt.Sprint("domain-", i%3), Control: control, Callers: callers,
		CallerAddr: d.addr(i, callerPort), ReadinessAddr: d.addr(i, readyPort), OperatorAddr: d.addr(i, operatorPort),
		LinkAddr: d.addr(i, linkPort), AgentPort: linkPort + 1, FirstStart: first, Heartbeat: 300 * time.Millisecond,
		TolerateLost: 1, Grace: 4 * time.Second, OrderLease: time.Second, RetryFraction: 0.2, RetryBurst: 60,
		WeightsGracePeriod: 10 * time.Second, RateSlack: 1000,
		Seeds: []netip.AddrPort{d.addr(0, linkPort), d.addr(1, linkPort), d.addr(2, linkPort)},
	}
}

// run builds and runs node i.
func (d *deployment) run(i int, s boragewick.NodeSettings) {
	d.t.Helper()
	n := &Node{
		Settings: s,
		NewAdministrator: func(a boragewick.Administration, knows func(string) bool, logger log.Logger) http.Handler {
			return &platform.Admin{Administration: a, KnowsPool: knows, Logger: logger}
		},
		Decoder: platform.TableDecoder{}, Dialect: platform.HeaderDialect{},
		NewLoader: func(c *upstream.Client) boragewick.Loader { return &platform.EngineClient{Client: c} },
		NewMover:  func(c *upstream.Client) boragewick.Mover { return &platform.EngineClient{Client: c} },
		NewProbe:  func(c *upstream.Client) boragewick.EngineProbe { return &platform.EngineClient{Client: c} },
		Logger:    log.NewNopLogger(),
	}
	if err := n.Build(); err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{n, cancel, make(chan struct{})}
	d.mu.Lock()
	d.nodes[i] = r
	d.mu.Unlock()
	go func() {
		defer close(r.done)
		_ = n.Run(ctx)
	}()
}

// call sends a request and returns the status and body, or a zero status if there
// is no response.
func (d *deployment) call(method string, addr netip.AddrPort, path, body string, header ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "a.example"
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// waitFor polls until the condition holds and fails the test after the timeout.
func (d *deployment) waitFor(timeout time.Duration, description string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("condition not met within %s: %s", timeout, description)
}

func document(version int, prefix string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","pathPrefix":%q,"kind":"safe","timeoutMs":1000,"service":"desk","maxAttempts":2}],`+
		`"services":[{"name":"desk"}],"limits":{"maxBodyBytes":1000},"tenants":[{"name":"t","apiKeys":["k"]}]}`, version, prefix)
}

func (d *deployment) publish(i, version int) bool {
	code, _ := d.call("PUT", d.addr(i, operatorPort), "/config", document(version, fmt.Sprintf("/v%d/", version)))
	return code == 200
}

func (d *deployment) hasConfig(i, version int) bool {
	code, b := d.call("GET", d.addr(i, operatorPort), "/config", "")
	return code == 200 && strings.Contains(b, fmt.Sprintf(`"version":%d,`, version))
}

func TestSeedsFormOneGroup(t *testing.T) {
	tests := map[string][]int{
		"in order":              {0, 1, 2},
		"first seed last":       {2, 1, 0},
		"one seed never starts": {1, 2},
	}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			for _, i := range order {
				d.start(i, true, false, true)
				time.Sleep(100 * time.Millisecond)
			}
			d.waitFor(8*time.Second, "published", func() bool { return d.publish(order[0], 3) })
			for _, i := range order {
				d.waitFor(4*time.Second, "read back", func() bool { return d.hasConfig(i, 3) })
			}
		})
	}
}

func TestPublishing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, false, true)
	}
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(0, 5) })
	steps := []struct {
		name, document  string
		status, version int
	}{
		{"an older version is acknowledged and changes nothing", document(4, "/old/"), 200, 5},
		{"other content under the version in force", document(5, "/other/"), 200, 5},
		{"an unknown service", strings.Replace(document(8, "/x/"), `"service":"desk"`, `"service":"none"`, 1), 400, 5},
		{"cut short", document(9, "/x/")[:60], 400, 5},
		{"a newer version", document(7, "/new/"), 200, 7},
	}
	for i, step := range steps {
		code, _ := d.call("PUT", d.addr(i%3, operatorPort), "/config", step.document)
		if code != step.status {
			t.Errorf("%s: status %d, want %d", step.name, code, step.status)
		}
		if !d.hasConfig((i+1)%3, step.version) {
			t.Errorf("%s: version %d isn't read back", step.name, step.version)
		}
	}
}

func TestLostDiskIsReplaced(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, false, true)
	}
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(0, 3) })
	for lost := range 3 {
		d.stop(lost)
		if err := os.RemoveAll(filepath.Join(d.root, fmt.Sprint(lost))); err != nil {
			t.Fatal(err)
		}
		d.start(lost, true, false, false)
		d.waitFor(10*time.Second, "replica is a voter again", func() bool {
			st := d.nodes[lost].core.Replica.Status()
			return len(st.Voters) == 3 && len(st.Learners) == 0 && st.Members.IsVoter(d.nodes[lost].core.Member())
		})
	}
	for i := range 3 {
		d.waitFor(4*time.Second, "the configuration is still there", func() bool { return d.hasConfig(i, 3) })
	}
}

func TestReplicaAtNewAddressReplacesLostVoter(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, false, true)
	}
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(0, 3) })
	d.stop(1)
	d.start(3, true, false, false)
	d.waitFor(14*time.Second, "the new replica votes in place of the lost one", func() bool {
		st := d.nodes[3].core.Replica.Status()
		return len(st.Voters) == 3 && st.Members.IsVoter(d.nodes[3].core.Member())
	})
	d.stop(0)
	d.waitFor(8*time.Second, "the group tolerates a second loss", func() bool { return d.publish(3, 4) })
}

func TestCallsFailWithoutQuorum(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, false, true)
	}
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(0, 3) })
	d.stop(1)
	d.stop(2)
	time.Sleep(time.Second)
	if code, _ := d.call("GET", d.addr(0, operatorPort), "/config", ""); code != 503 {
		t.Errorf("without a quorum, a read returns status %d", code)
	}
	if code, _ := d.call("PUT", d.addr(0, operatorPort), "/config", document(9, "/x/")); code == 200 {
		t.Error("a publication is acknowledged without a quorum")
	}
}

// startEndpoint serves an endpoint of the pool desk at the address of node i.
func (d *deployment) startEndpoint(i int) {
	d.serveEndpoint(i, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Boragewick-Request-Id", r.Header.Get("X-Boragewick-Request-Id"))
		_, _ = io.WriteString(w, r.Header.Get("X-Boragewick-Expect-Instance")+" "+r.Header.Get("X-Boragewick-Tenant"))
	}))
}

// serveEndpoint serves the handler at the address of the endpoint at node i until the
// test ends.
func (d *deployment) serveEndpoint(i int, h http.Handler) {
	l, err := net.Listen("tcp4", d.addr(i, enginePort).String())
	if err != nil {
		d.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	d.t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
}

// heartbeat sends a heartbeat of the endpoint at node i to the control replica at
// node c.
func (d *deployment) heartbeat(c, i, seq int, state string) bool {
	code, _ := d.call("PUT", d.addr(c, operatorPort), fmt.Sprintf("/instances/desk-%d", i),
		fmt.Sprintf(`{"service":"desk","address":%q,"zone":"z","version":"v","slots":4,"state":%q,"coldRemainingMs":0,"seq":%d,"born":1}`,
			d.addr(i, enginePort), state, seq))
	return code == 200
}

// request sends a request through the router at node i.
func (d *deployment) request(i int, path string) (int, string) {
	return d.call("GET", d.addr(i, callerPort), path, "", "X-Boragewick-Request-Id", "id", "Authorization", "Token k", "X-Boragewick-Deadline-Ms", "1000")
}

func TestRequestsThroughARouter(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	for i := range 3 {
		d.start(i, true, i == 0, true)
	}
	d.start(4, false, true, true)
	d.startEndpoint(5)
	d.startEndpoint(6)
	if code, _ := d.request(4, "/v3/x"); code != 503 {
		t.Errorf("status %d before there is a table", code)
	}
	d.waitFor(8*time.Second, "published", func() bool { return d.publish(1, 3) })
	d.waitFor(2*time.Second, "heartbeats", func() bool { return d.heartbeat(0, 5, 1, "ready") && d.heartbeat(2, 6, 1, "ready") })
	d.waitFor(2*time.Second, "served by both", func() bool {
		seen := map[string]bool{}
		for range 8 {
			_, b := d.request(4, "/v3/x")
			seen[b] = true
		}
		return seen["desk-5 t"] && seen["desk-6 t"]
	})
	if code, _ := d.call("GET", d.addr(4, readyPort), "/ready", ""); code != 200 {
		t.Errorf("readiness %d", code)
	}
	if code, _ := d.request(4, "/v9/x"); code != 404 {
		t.Errorf("status %d on a route that isn't there", code)
	}
	d.waitFor(2*time.Second, "leaving", func() bool { return d.heartbeat(1, 6, 2, "draining") })
	acked := time.Now()
	d.waitFor(2*time.Second, "only the other endpoint is used", func() bool {
		for range 6 {
			if _, b := d.request(4, "/v3/x"); b != "desk-5 t" {
				return false
			}
		}
		return true
	})
	t.Logf("the router stopped using the leaving endpoint %s after the ack", time.Since(acked))
	if !d.publish(2, 4) {
		t.Fatal("not published")
	}
	d.waitFor(2*time.Second, "new route in force", func() bool {
		code, _ := d.request(4, "/v4/x")
		return code == 200
	})
	if code, _ := d.request(4, "/v3/x"); code != 404 {
		t.Errorf("status %d on a route that is gone", code)
	}
	for i := range 3 {
		d.stop(i)
	}
	time.Sleep(300 * time.Millisecond)
	if code, b := d.request(4, "/v4/x"); code != 200 {
		t.Errorf("without the control replicas: %d %s", code, b)
	}
	d.waitFor(4*time.Second, "an unknown route is 503 while the router has no control replica", func() bool {
		code, _ := d.request(4, "/v9/x")
		return code == 503
	})
}
