package follow_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/control"
	"github.com/boragewick/boragewick/follow"
	"github.com/boragewick/boragewick/ledger"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/memconn"
	"github.com/boragewick/boragewick/state"
	"github.com/boragewick/boragewick/view"
)

// The planned size, and the bytes that control may cost a node.
const (
	plannedEndpoints  = 3000
	plannedWorkspaces = 13_000
	dailyChanges      = 11_000
	dailyRestarts     = 220
	daySeconds        = 24 * 60 * 60
	maxRate           = 4 << 10  // bytes a second, mean of a day
	maxStart          = 12 << 20 // bytes; a link carries 16 MiB in one message
	quietSeconds      = 60
	// headerBytes are those of WebSocket, TLS, TCP and IP for one message, with
	// the acknowledgement of TCP.
	headerBytes = 8 + 22 + 2*52
)

// soleLog commits at once and always leads.
type soleLog struct {
	machine *state.Machine
	index   uint64
}

func (l *soleLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.index++
	return l.machine.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 1, Index: l.index}, Command: command}), nil
}

func (l *soleLog) Barrier(context.Context) error { return nil }

func (l *soleLog) Status() boragewick.LogStatus {
	return boragewick.LogStatus{Leading: true, Term: 1, LeaseUntil: time.Now().Add(time.Minute)}
}

// traffic counts the bytes of all messages of a router with control.
type traffic struct {
	boragewick.Conn
	bytes *atomic.Int64
}

func (c traffic) count(b []byte) {
	if len(b) > 0 {
		c.bytes.Add(int64(len(b)) + headerBytes)
	}
}

func (c traffic) ReadMessage() ([]byte, error) {
	b, err := c.Conn.ReadMessage()
	c.count(b)
	return b, err
}

func (c traffic) WriteMessage(b []byte) error {
	c.count(b)
	return c.Conn.WriteMessage(b)
}

// node is a router's follower beside a control replica.
type node struct {
	t     *testing.T
	log   *soleLog
	view  *view.View
	bytes atomic.Int64
}

func newNode(t *testing.T) *node {
	n := &node{t: t, log: &soleLog{machine: &state.Machine{}}, view: &view.View{Clock: boragewick.SystemClock}}
	return n
}

func (n *node) commit(c boragewick.Command) {
	n.t.Helper()
	c.At = time.Now()
	b, err := boragewick.Encode(c)
	if err != nil {
		n.t.Fatal(err)
	}
	out, err := n.log.Propose(n.t.Context(), b)
	if err != nil {
		n.t.Fatal(err)
	}
	var r boragewick.Result
	if err := boragewick.Decode(out, &r); err != nil || r.Fault != nil {
		n.t.Fatalf("%v %v", err, r.Fault)
	}
}

// follow runs the follower until the returned function ends it.
func (n *node) follow() func() {
	c := &control.Control{
		Log: n.log, State: n.log.machine, Clock: boragewick.SystemClock, Logger: log.NewNopLogger(),
		Rates: ledger.New(nil), LeaseFor: time.Minute,
	}
	var network memconn.Network
	var server linkserver.Server
	c.Handle(server.Handle)
	addr := netip.MustParseAddrPort("127.0.0.1:7400")
	network.Listen(addr, server.ServeConn)
	dialer := boragewick.DialerFunc(func(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
		conn, err := network.Dial(ctx, addr)
		return traffic{conn, &n.bytes}, err
	})
	l := &link.Link{Addr: addr, Dialer: dialer}
	f := &follow.Follower{
		Instance: "router-001", View: n.view, Replicas: []boragewick.Peer{l},
		Clock: boragewick.SystemClock, Logger: log.NewNopLogger(), FreshFor: 3 * time.Second,
	}
	ctx, cancel := context.WithCancel(n.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
		_ = l.Close()
		ended, stop := context.WithCancel(context.Background())
		stop()
		_ = server.Shutdown(ended)
		time.Sleep(time.Minute) // simulated; the session's timers end
	}
}

func endpoint(n, run int) boragewick.Endpoint {
	return boragewick.Endpoint{
		Name:          fmt.Sprintf("region-%d-runner-%04d", n%7, n),
		Agent:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n % 7), byte(n >> 8), byte(n)}), 7400),
		Pool:          fmt.Sprintf("pool-%d", n%5),
		Kind:          boragewick.EndpointModel,
		FailureDomain: fmt.Sprintf("region-%d-domain-%d", n%7, n%23),
		Region:        fmt.Sprintf("region-%d", n%7),
		Weight:        1,
		Models:        []boragewick.Model{{Name: fmt.Sprintf("model-%d", n%5), Weights: "2026-01-01"}},
		Incarnation:   boragewick.Incarnation(fmt.Sprintf("inc_%012d%04d", n, run)),
	}
}

// perPlan is the number of workspaces that one plan creates.
const perPlan = 100

// create makes workspaces, each with a key and a rate.
func (n *node) create(workspaces int) {
	for first := 0; first < workspaces; first += perPlan {
		plan := boragewick.Plan{ID: boragewick.ID(fmt.Sprintf("plan_%d", first)), Operator: "ann", Expires: time.Now().Add(time.Hour)}
		for number := first; number < first+perPlan; number++ {
			for _, o := range objects(number) {
				plan.Changes = append(plan.Changes, boragewick.Change{Action: boragewick.ActionCreate, Object: o})
			}
		}
		n.confirm(&plan)
	}
}

// objects lists a workspace with its key and its rate.
func objects(n int) []boragewick.Object {
	path := fmt.Sprintf("/cooperative/number-%d", n)
	return []boragewick.Object{
		workspace(n, 1),
		{
			ID: boragewick.ID(fmt.Sprintf("key_%016d", n)), Kind: boragewick.KindKey, Names: boragewick.Names{Path: path + "/key"},
			Key: &boragewick.Key{Workspace: workspaceID(n), Hash: boragewick.KeyHash{byte(n), byte(n >> 8), 1}},
		},
		{
			ID: boragewick.ID(fmt.Sprintf("rate_%016d", n)), Kind: boragewick.KindRate, Names: boragewick.Names{Path: path + "/rate"},
			Rate: &boragewick.Rate{Workspace: workspaceID(n), TokensPerSecond: 1000, Burst: 10_000},
		},
	}
}

func workspaceID(n int) boragewick.ID { return boragewick.ID(fmt.Sprintf("workspace_%016d", n)) }

func workspace(n, weight int) boragewick.Object {
	return boragewick.Object{
		ID: workspaceID(n), Kind: boragewick.KindWorkspace,
		Names: boragewick.Names{
			Path:   fmt.Sprintf("/cooperative/number-%d", n),
			Dotted: fmt.Sprintf("cooperative.number-%d", n),
			Code:   fmt.Sprintf("WS-%05d", n),
		},
		Workspace: &boragewick.Workspace{Weight: uint32(weight)},
	}
}

// change gives one of the first workspaces another weight.
func (n *node) change(number int) {
	id := number % perPlan
	history := n.log.machine.History(workspaceID(id))
	base := history[len(history)-1].Revision.Index
	n.confirm(&boragewick.Plan{
		ID: boragewick.ID(fmt.Sprintf("change_%d", number)), Operator: "ann", Expires: time.Now().Add(time.Hour),
		Changes: []boragewick.Change{{Action: boragewick.ActionChange, Base: base, Object: workspace(id, number+2)}},
	})
}

func (n *node) confirm(p *boragewick.Plan) {
	n.commit(boragewick.Command{Plan: p})
	n.commit(boragewick.Command{Confirm: &boragewick.Confirm{Plan: p.ID, Operator: "ann"}})
}

func (n *node) announce(endpoints int) {
	for i := range endpoints {
		n.commit(boragewick.Command{Announce: &boragewick.Announcement{Endpoint: endpoint(i, 0)}})
	}
}

// TestControlBytes feeds one router with the directory of the planned size and
// a day's changes and restarts, and adds a day of questions for freshness. The
// changes come faster than in a day, each as a message of its own.
func TestControlBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t)
		n.announce(plannedEndpoints)
		n.create(perPlan)
		stop := n.follow()
		defer stop()
		time.Sleep(time.Second)
		begun := n.bytes.Load()
		time.Sleep(quietSeconds * time.Second)
		quiet := float64(n.bytes.Load()-begun) / quietSeconds

		from, at := n.bytes.Load(), time.Now()
		for i := range dailyChanges {
			n.change(i)
			time.Sleep(time.Millisecond)
		}
		for i := range dailyRestarts {
			old, e := endpoint(i, 0), endpoint(i, 1)
			n.commit(boragewick.Command{Depart: &boragewick.Departure{Name: old.Name, Incarnation: old.Incarnation}})
			time.Sleep(time.Millisecond)
			n.commit(boragewick.Command{Announce: &boragewick.Announcement{Endpoint: e}})
			time.Sleep(time.Millisecond)
		}
		day := float64(n.bytes.Load()-from) - quiet*time.Since(at).Seconds()
		n.agree()
		rate := quiet + day/daySeconds
		t.Logf("%.0f bytes/s at rest, %.0f bytes of changes a day, %.0f bytes/s in all", quiet, day, rate)
		if day <= 0 || quiet <= 0 {
			t.Error("nothing was counted")
		}
		if rate > maxRate {
			t.Errorf("%.0f bytes/s, want %d at most", rate, maxRate)
		}
	})
}

// agree checks that the router has what control has.
func (n *node) agree() {
	n.t.Helper()
	if got, want := n.view.Revision(), n.log.machine.Revision(); got != want {
		n.t.Fatalf("the router has revision %v, control %v", got, want)
	}
}

// TestStartBytes has one router start with the configuration and the directory
// of the planned size.
func TestStartBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t)
		n.announce(plannedEndpoints)
		n.create(plannedWorkspaces)
		stop := n.follow()
		defer stop()
		time.Sleep(time.Second)
		n.agree()
		t.Logf("%d bytes", n.bytes.Load())
		if got := n.bytes.Load(); got > maxStart {
			t.Errorf("the start takes %d bytes, want %d at most", got, maxStart)
		}
	})
}
