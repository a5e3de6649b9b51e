package weights

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/registry"
)

// fakeLog is a Log whose leadership is set by the test.
type fakeLog struct {
	boragewick.Log
	mu     sync.Mutex
	status boragewick.LogStatus
}

func (l *fakeLog) Status() boragewick.LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

func (l *fakeLog) setLeading(term uint64, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = boragewick.LogStatus{Leading: leading, Term: term, LeaseUntil: time.Now().Add(time.Hour)}
}

// fakeEngines is a Loader whose engines take loadTime to load.
type fakeEngines struct {
	mu         sync.Mutex
	versions   map[string]uint64
	loading    map[string]bool
	down       map[string]bool
	fence      uint64
	maxLoading int
	orders     []boragewick.LoadOrder
	orderedAt  []time.Time
}

const loadTime = 830 * time.Millisecond

func (e *fakeEngines) Report(_ context.Context, name string, _ netip.AddrPort) (boragewick.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down[name] {
		return boragewick.EngineReport{}, boragewick.ErrLinkLost
	}
	return boragewick.EngineReport{Busy: e.loading[name], Weights: map[string]uint64{"m": e.versions[name]}}, nil
}

func (e *fakeEngines) Load(_ context.Context, o *boragewick.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, *o)
	e.orderedAt = append(e.orderedAt, time.Now())
	if o.Fence < e.fence {
		return boragewick.ErrFenced
	}
	if e.loading[o.Endpoint] {
		return boragewick.ErrOverloaded
	}
	e.fence = o.Fence
	e.loading[o.Endpoint] = true
	e.maxLoading = max(e.maxLoading, len(e.loading))
	name, version := o.Endpoint, o.Version
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.loading, name)
		e.versions[name] = version
	})
	return nil
}

func (e *fakeEngines) countWithVersion(version uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, v := range e.versions {
		if v == version {
			n++
		}
	}
	return n
}

// harness is an Upgrader with fake engines.
type harness struct {
	*Upgrader
	log        *fakeLog
	engines    *fakeEngines
	reg        *registry.Registry
	heartbeats uint64
}

// engineName returns a name whose number is the last byte of the engine's address.
func engineName(i int) string { return fmt.Sprintf("e%d", i+1) }

func newHarness(n int) *harness {
	e := &fakeEngines{versions: map[string]uint64{}, loading: map[string]bool{}, down: map[string]bool{}}
	h := &harness{log: &fakeLog{}, engines: e, reg: &registry.Registry{}}
	h.Upgrader = &Upgrader{
		Holder:        "node",
		Log:           h.log,
		Registry:      h.reg,
		Directory:     &discovery.Directory{Clock: boragewick.SystemClock, Heartbeat: time.Second},
		Loader:        e,
		SendDirective: func(*boragewick.Directive) {},
		Clock:         boragewick.SystemClock,
		Logger:        log.NewNopLogger(),
		OrderLease:    3 * time.Second,
	}
	for i := range n {
		e.versions[engineName(i)] = 1
	}
	h.sendHeartbeats()
	return h
}

// sendHeartbeats registers all engines that are not down.
func (h *harness) sendHeartbeats() {
	h.heartbeats++
	h.engines.mu.Lock()
	defer h.engines.mu.Unlock()
	for name, version := range h.engines.versions {
		if h.engines.down[name] {
			continue
		}
		h.Directory.Register(boragewick.Registration{
			Name: name, Pool: "p", Addr: netip.MustParseAddrPort("10.0.0." + name[1:] + ":80"), Started: 1, Number: h.heartbeats,
			Weights: map[string]uint64{"m": version},
		})
	}
}

func (h *harness) nameWeights(t *testing.T, version uint64) {
	t.Helper()
	b, err := boragewick.Encode(&boragewick.RegistryCommand{Weights: &boragewick.NamedWeights{Model: "m", Version: version}})
	if err != nil {
		t.Fatal(err)
	}
	h.reg.Apply(boragewick.Entry{Command: b})
}

// runFor runs the Upgrader for the duration while the engines send heartbeats.
func (h *harness) runFor(t *testing.T, duration time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run(ctx)
	}()
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		h.sendHeartbeats()
	}
	<-done
	synctest.Wait()
}

func TestUpgrade(t *testing.T) {
	tests := map[string]struct{ engines, maxLoading int }{
		"one engine": {1, 1},
		"nine":       {9, 2},
		"eighteen":   {18, 3},
		"forty-nine": {49, 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(test.engines)
				h.log.setLeading(1, true)
				h.nameWeights(t, 2)
				h.runFor(t, 13*time.Second)
				if n := h.engines.countWithVersion(2); n != test.engines && test.engines > 1 {
					t.Errorf("%d of %d engines upgraded", n, test.engines)
				}
				if h.engines.maxLoading > test.maxLoading {
					t.Errorf("%d engines loaded at once, want %d at most", h.engines.maxLoading, test.maxLoading)
				}
			})
		})
	}
}

// TestNewVersionEveryFourSeconds names new weights every 4 s. No engine may keep
// its weights for longer than the bound of 10 s. Only the first weights are checked
// for this, at 13 s, as the new leader gives no orders during OrderLease, 3 s.
func TestNewVersionEveryFourSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(18)
		h.log.setLeading(1, true)
		h.nameWeights(t, 2)
		for version := uint64(3); version <= 5; version++ {
			time.AfterFunc(time.Duration(version-2)*4*time.Second, func() { h.nameWeights(t, version) })
		}
		time.AfterFunc(13*time.Second, func() {
			if n := h.engines.countWithVersion(1); n > 0 {
				t.Errorf("%d engines have the first weights 13 s after newer ones were named", n)
			}
		})
		h.runFor(t, 25*time.Second)
		if n := h.engines.countWithVersion(5); n != 18 {
			t.Errorf("%d of 18 engines have the newest weights", n)
		}
	})
}

func TestNewLeaderWaitsForOrderLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(4)
		h.nameWeights(t, 2)
		electedAt := time.Now()
		h.log.setLeading(7, true)
		h.runFor(t, 10*time.Second)
		if len(h.engines.orderedAt) == 0 {
			t.Fatal("no orders")
		}
		if wait := h.engines.orderedAt[0].Sub(electedAt); wait < h.OrderLease {
			t.Errorf("ordered %s after the election", wait)
		}
		if o := h.engines.orders[0]; o.Fence != 7 || o.Holder != "node" {
			t.Errorf("order of %s with fence %d", o.Holder, o.Fence)
		}
	})
}

func TestFollowerGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(4)
		h.nameWeights(t, 2)
		h.log.setLeading(3, false)
		h.runFor(t, 8*time.Second)
		if n := len(h.engines.orders); n > 0 {
			t.Errorf("%d orders", n)
		}
	})
}

func TestFencedLeaderPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(4)
		h.engines.fence = 9
		h.nameWeights(t, 2)
		h.log.setLeading(1, true)
		h.runFor(t, 9*time.Second)
		if n := len(h.engines.orders); n > 6 {
			t.Errorf("%d orders with a fence that is too low", n)
		}
	})
}

// TestUnreachableEngines checks that registered engines that do not answer during
// an upgrade do not delay the others.
func TestUnreachableEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(18)
		h.log.setLeading(1, true)
		for i := range 5 {
			h.engines.down[engineName(i)] = true
		}
		h.nameWeights(t, 2)
		h.runFor(t, 12*time.Second)
		if n := h.engines.countWithVersion(2); n != 13 {
			t.Errorf("%d of 13 reachable engines upgraded", n)
		}
	})
}

// TestLostOrderIsRepeated covers an order that the engine neither accepted nor
// answered.
func TestLostOrderIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(2)
		lossy := &lossyLoader{fakeEngines: h.engines, remaining: 1}
		h.Loader = lossy
		h.log.setLeading(1, true)
		h.nameWeights(t, 2)
		h.runFor(t, 12*time.Second)
		if n := h.engines.countWithVersion(2); n == 0 {
			t.Error("no engine upgraded after a lost order")
		}
	})
}

// lossyLoader loses its first orders; remaining counts those still to be lost.
type lossyLoader struct {
	*fakeEngines
	remaining int
}

func (l *lossyLoader) Load(ctx context.Context, o *boragewick.LoadOrder) error {
	l.mu.Lock()
	drop := l.remaining > 0
	l.remaining--
	l.mu.Unlock()
	if drop {
		return errors.Mark(errors.New("no answer"), boragewick.ErrLinkLost)
	}
	return l.fakeEngines.Load(ctx, o)
}
