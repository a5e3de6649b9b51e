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

// The planned size of a deployment, and the limits of the traffic between control
// and one router.
const (
	plannedEndpoints  = 3000
	plannedWorkspaces = 13_000
	dailyChanges      = 11_000
	dailyRestarts     = 220
	secondsPerDay     = 24 * 60 * 60
	maxBytesPerSecond = 4 << 10  // mean of a day
	maxStartBytes     = 12 << 20 // a link carries 16 MiB in one message
	idleSeconds       = 60
	// headerBytes is the overhead of WebSocket, TLS, TCP and IP for one message,
	// including the acknowledgement of TCP.
	headerBytes = 8 + 22 + 2*52
)

// singleReplicaLog commits at once and always leads.
type singleReplicaLog struct {
	machine *state.Machine
	index   uint64
}

func (l *singleReplicaLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.index++
	return l.machine.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 1, Index: l.index}, Command: command}), nil
}

func (l *singleReplicaLog) Barrier(context.Context) error { return nil }

func (l *singleReplicaLog) Status() boragewick.LogStatus {
	return boragewick.LogStatus{Leading: true, Term: 1, LeaseUntil: time.Now().Add(time.Minute)}
}

// countingConn counts the bytes of all messages between a router and control.
type countingConn struct {
	boragewick.Conn
	bytes *atomic.Int64
}

func (c countingConn) count(b []byte) {
	if len(b) > 0 {
		c.bytes.Add(int64(len(b)) + headerBytes)
	}
}

func (c countingConn) ReadMessage() ([]byte, error) {
	b, err := c.Conn.ReadMessage()
	c.count(b)
	return b, err
}

func (c countingConn) WriteMessage(b []byte) error {
	c.count(b)
	return c.Conn.WriteMessage(b)
}

// harness is a router's follower and the log of the one control replica that it
// follows.
type harness struct {
	t     *testing.T
	log   *singleReplicaLog
	view  *view.View
	bytes atomic.Int64
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, log: &singleReplicaLog{machine: &state.Machine{}}, view: &view.View{Clock: boragewick.SystemClock}}
	return h
}

func (h *harness) commit(c boragewick.Command) {
	h.t.Helper()
	c.At = time.Now()
	b, err := boragewick.Encode(c)
	if err != nil {
		h.t.Fatal(err)
	}
	out, err := h.log.Propose(h.t.Context(), b)
	if err != nil {
		h.t.Fatal(err)
	}
	var r boragewick.Result
	if err := boragewick.Decode(out, &r); err != nil || r.Fault != nil {
		h.t.Fatalf("%v %v", err, r.Fault)
	}
}

// startFollower starts the follower. The returned function stops it.
func (h *harness) startFollower() func() {
	c := &control.Control{
		Log: h.log, State: h.log.machine, Clock: boragewick.SystemClock, Logger: log.NewNopLogger(),
		Rates: ledger.New(nil), LeaseFor: time.Minute,
	}
	var network memconn.Network
	var server linkserver.Server
	c.Handle(server.Handle)
	addr := netip.MustParseAddrPort("127.0.0.1:7400")
	network.Listen(addr, server.ServeConn)
	dialer := boragewick.DialerFunc(func(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
		conn, err := network.Dial(ctx, addr)
		return countingConn{conn, &h.bytes}, err
	})
	l := &link.Link{Addr: addr, Dialer: dialer}
	f := &follow.Follower{
		Instance: "router-001", View: h.view, Replicas: []boragewick.Peer{l},
		Clock: boragewick.SystemClock, Logger: log.NewNopLogger(), FreshFor: 3 * time.Second,
	}
	ctx, cancel := context.WithCancel(h.t.Context())
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
		time.Sleep(time.Minute) // simulated time in which the session's timers end
	}
}

func endpoint(n, restarts int) boragewick.Endpoint {
	return boragewick.Endpoint{
		Name:          fmt.Sprintf("region-%d-runner-%04d", n%7, n),
		Agent:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n % 7), byte(n >> 8), byte(n)}), 7400),
		Pool:          fmt.Sprintf("pool-%d", n%5),
		Kind:          boragewick.EndpointModel,
		FailureDomain: fmt.Sprintf("region-%d-domain-%d", n%7, n%23),
		Region:        fmt.Sprintf("region-%d", n%7),
		Weight:        1,
		Models:        []boragewick.Model{{Name: fmt.Sprintf("model-%d", n%5), Weights: "2026-01-01"}},
		Incarnation:   boragewick.Incarnation(fmt.Sprintf("inc_%012d%04d", n, restarts)),
	}
}

// workspacesPerPlan is the number of workspaces that one plan creates.
const workspacesPerPlan = 100

// createWorkspaces creates workspaces, each with a key and a rate.
func (h *harness) createWorkspaces(workspaces int) {
	for first := 0; first < workspaces; first += workspacesPerPlan {
		plan := boragewick.Plan{ID: boragewick.ID(fmt.Sprintf("plan_%d", first)), Operator: "ann", Expires: time.Now().Add(time.Hour)}
		for number := first; number < first+workspacesPerPlan; number++ {
			for _, o := range objects(number) {
				plan.Changes = append(plan.Changes, boragewick.Change{Action: boragewick.ActionCreate, Object: o})
			}
		}
		h.confirmPlan(&plan)
	}
}

// objects returns a workspace with its key and its rate.
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

// changeWeight changes the weight of one of the first workspaces.
func (h *harness) changeWeight(number int) {
	id := number % workspacesPerPlan
	history := h.log.machine.History(workspaceID(id))
	base := history[len(history)-1].Revision.Index
	h.confirmPlan(&boragewick.Plan{
		ID: boragewick.ID(fmt.Sprintf("change_%d", number)), Operator: "ann", Expires: time.Now().Add(time.Hour),
		Changes: []boragewick.Change{{Action: boragewick.ActionChange, Base: base, Object: workspace(id, number+2)}},
	})
}

func (h *harness) confirmPlan(p *boragewick.Plan) {
	h.commit(boragewick.Command{Plan: p})
	h.commit(boragewick.Command{Confirm: &boragewick.Confirm{Plan: p.ID, Operator: "ann"}})
}

func (h *harness) announceEndpoints(endpoints int) {
	for i := range endpoints {
		h.commit(boragewick.Command{Announce: &boragewick.Announcement{Endpoint: endpoint(i, 0)}})
	}
}

// TestControlTraffic bounds the mean traffic of a day between control and one
// router with a directory of the planned size. It sends a day's changes and
// restarts, each as a message of its own but faster than in a day, and adds a day
// of requests for freshness.
func TestControlTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.announceEndpoints(plannedEndpoints)
		h.createWorkspaces(workspacesPerPlan)
		stop := h.startFollower()
		defer stop()
		time.Sleep(time.Second)
		bytesBeforeIdle := h.bytes.Load()
		time.Sleep(idleSeconds * time.Second)
		idleRate := float64(h.bytes.Load()-bytesBeforeIdle) / idleSeconds

		bytesBeforeChanges, changesStart := h.bytes.Load(), time.Now()
		for i := range dailyChanges {
			h.changeWeight(i)
			time.Sleep(time.Millisecond)
		}
		for i := range dailyRestarts {
			old, e := endpoint(i, 0), endpoint(i, 1)
			h.commit(boragewick.Command{Depart: &boragewick.Departure{Name: old.Name, Incarnation: old.Incarnation}})
			time.Sleep(time.Millisecond)
			h.commit(boragewick.Command{Announce: &boragewick.Announcement{Endpoint: e}})
			time.Sleep(time.Millisecond)
		}
		changeBytes := float64(h.bytes.Load()-bytesBeforeChanges) - idleRate*time.Since(changesStart).Seconds()
		h.checkRevision()
		rate := idleRate + changeBytes/secondsPerDay
		t.Logf("%.0f bytes/s idle, %.0f bytes of changes a day, %.0f bytes/s in total", idleRate, changeBytes, rate)
		if changeBytes <= 0 || idleRate <= 0 {
			t.Error("nothing was counted")
		}
		if rate > maxBytesPerSecond {
			t.Errorf("%.0f bytes/s, want %d at most", rate, maxBytesPerSecond)
		}
	})
}

// checkRevision checks that the router has the revision of control.
func (h *harness) checkRevision() {
	h.t.Helper()
	if got, want := h.view.Revision(), h.log.machine.Revision(); got != want {
		h.t.Fatalf("the router has revision %v, control %v", got, want)
	}
}

// TestStartTraffic bounds the traffic of the start of one router with the
// configuration and the directory of the planned size.
func TestStartTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.announceEndpoints(plannedEndpoints)
		h.createWorkspaces(plannedWorkspaces)
		stop := h.startFollower()
		defer stop()
		time.Sleep(time.Second)
		h.checkRevision()
		t.Logf("%d bytes", h.bytes.Load())
		if got := h.bytes.Load(); got > maxStartBytes {
			t.Errorf("the start takes %d bytes, want %d at most", got, maxStartBytes)
		}
	})
}
