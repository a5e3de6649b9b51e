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

// logStatus is a Log that leads when the test says so.
type logStatus struct {
	boragewick.Log
	mu     sync.Mutex
	status boragewick.LogStatus
}

func (l *logStatus) Status() boragewick.LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

func (l *logStatus) lead(term uint64, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = boragewick.LogStatus{Leading: leading, Term: term, LeaseUntil: time.Now().Add(time.Hour)}
}

// engines carry out orders after loadTime.
type engines struct {
	mu       sync.Mutex
	versions map[string]uint64
	loading  map[string]bool
	down     map[string]bool
	fence    uint64
	most     int
	orders   []boragewick.LoadOrder
	at       []time.Time
}

const loadTime = 830 * time.Millisecond

func (e *engines) Report(_ context.Context, name string, _ netip.AddrPort) (boragewick.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down[name] {
		return boragewick.EngineReport{}, boragewick.ErrLinkLost
	}
	return boragewick.EngineReport{Busy: e.loading[name], Weights: map[string]uint64{"m": e.versions[name]}}, nil
}

func (e *engines) Load(_ context.Context, o *boragewick.LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, *o)
	e.at = append(e.at, time.Now())
	if o.Fence < e.fence {
		return boragewick.ErrFenced
	}
	if e.loading[o.Endpoint] {
		return boragewick.ErrOverloaded
	}
	e.fence = o.Fence
	e.loading[o.Endpoint] = true
	e.most = max(e.most, len(e.loading))
	name, version := o.Endpoint, o.Version
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.loading, name)
		e.versions[name] = version
	})
	return nil
}

// at reports how many engines have the version.
func (e *engines) have(version uint64) int {
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

// world is an Upgrader before n engines.
type world struct {
	*Upgrader
	log     *logStatus
	engines *engines
	reg     *registry.Registry
	beats   uint64
}

// engineName returns the name of an engine, which ends in its address.
func engineName(i int) string { return fmt.Sprintf("e%d", i+1) }

func newWorld(n int) *world {
	e := &engines{versions: map[string]uint64{}, loading: map[string]bool{}, down: map[string]bool{}}
	w := &world{log: &logStatus{}, engines: e, reg: &registry.Registry{}}
	w.Upgrader = &Upgrader{
		Holder:     "node",
		Log:        w.log,
		Registry:   w.reg,
		Directory:  &discovery.Directory{Clock: boragewick.SystemClock, Heartbeat: time.Second},
		Loader:     e,
		Direct:     func(*boragewick.Directive) {},
		Clock:      boragewick.SystemClock,
		Logger:     log.NewNopLogger(),
		OrderLease: 3 * time.Second,
	}
	for i := range n {
		e.versions[engineName(i)] = 1
	}
	w.beat()
	return w
}

// beat sends the heartbeats of all engines that are up.
func (w *world) beat() {
	w.beats++
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for name, version := range w.engines.versions {
		if w.engines.down[name] {
			continue
		}
		w.Directory.Register(boragewick.Registration{
			Name: name, Pool: "p", Addr: netip.MustParseAddrPort("10.0.0." + name[1:] + ":80"), Started: 1, Number: w.beats,
			Weights: map[string]uint64{"m": version},
		})
	}
}

func (w *world) name(t *testing.T, version uint64) {
	t.Helper()
	b, err := boragewick.Encode(&boragewick.RegistryCommand{Weights: &boragewick.NamedWeights{Model: "m", Version: version}})
	if err != nil {
		t.Fatal(err)
	}
	w.reg.Apply(boragewick.Entry{Command: b})
}

// run runs the Upgrader with heartbeats for as long as it is told.
func (w *world) run(t *testing.T, long time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), long)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	for ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		w.beat()
	}
	<-done
	synctest.Wait()
}

func TestUpgrade(t *testing.T) {
	tests := map[string]struct{ engines, most int }{
		"one engine": {1, 1},
		"nine":       {9, 2},
		"eighteen":   {18, 3},
		"forty-nine": {49, 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(test.engines)
				w.log.lead(1, true)
				w.name(t, 2)
				w.run(t, 13*time.Second)
				if n := w.engines.have(2); n != test.engines && test.engines > 1 {
					t.Errorf("%d of %d engines upgraded", n, test.engines)
				}
				if w.engines.most > test.most {
					t.Errorf("%d engines loaded at once, want %d at most", w.engines.most, test.most)
				}
			})
		})
	}
}

// TestNamesInQuickSuccession is the pattern of weights that are named every four
// seconds: no engine keeps weights for longer than the bound of ten.
func TestNamesInQuickSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(18)
		w.log.lead(1, true)
		w.name(t, 2)
		for version := uint64(3); version <= 5; version++ {
			time.AfterFunc(time.Duration(version-2)*4*time.Second, func() { w.name(t, version) })
		}
		time.AfterFunc(13*time.Second, func() {
			if n := w.engines.have(1); n > 0 {
				t.Errorf("%d engines have the first weights 13 s after newer ones were named", n)
			}
		})
		w.run(t, 25*time.Second)
		if n := w.engines.have(5); n != 18 {
			t.Errorf("%d of 18 engines have the newest weights", n)
		}
	})
}

func TestNewLeaderWaitsOutTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		w.name(t, 2)
		begun := time.Now()
		w.log.lead(7, true)
		w.run(t, 10*time.Second)
		if len(w.engines.at) == 0 {
			t.Fatal("no orders")
		}
		if wait := w.engines.at[0].Sub(begun); wait < w.OrderLease {
			t.Errorf("ordered %s after the election", wait)
		}
		if o := w.engines.orders[0]; o.Fence != 7 || o.Holder != "node" {
			t.Errorf("order of %s with fence %d", o.Holder, o.Fence)
		}
	})
}

func TestFollowerGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		w.name(t, 2)
		w.log.lead(3, false)
		w.run(t, 8*time.Second)
		if n := len(w.engines.orders); n > 0 {
			t.Errorf("%d orders", n)
		}
	})
}

func TestFencedLeaderPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		w.engines.fence = 9
		w.name(t, 2)
		w.log.lead(1, true)
		w.run(t, 9*time.Second)
		if n := len(w.engines.orders); n > 6 {
			t.Errorf("%d orders with a fence that is too low", n)
		}
	})
}

// TestEngineOutOfReach is the pattern of engines that fall silent in an upgrade:
// they don't hold up the others.
func TestEngineOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(18)
		w.log.lead(1, true)
		for i := range 5 {
			w.engines.down[engineName(i)] = true
		}
		w.name(t, 2)
		w.run(t, 12*time.Second)
		if n := w.engines.have(2); n != 13 {
			t.Errorf("%d of 13 reachable engines upgraded", n)
		}
	})
}

// TestLostOrderIsGivenAgain is an order without an answer that was not accepted.
func TestLostOrderIsGivenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		lost := &losing{engines: w.engines, left: 1}
		w.Loader = lost
		w.log.lead(1, true)
		w.name(t, 2)
		w.run(t, 12*time.Second)
		if n := w.engines.have(2); n == 0 {
			t.Error("no engine upgraded after a lost order")
		}
	})
}

// losing loses some orders.
type losing struct {
	*engines
	left int
}

func (l *losing) Load(ctx context.Context, o *boragewick.LoadOrder) error {
	l.mu.Lock()
	lose := l.left > 0
	l.left--
	l.mu.Unlock()
	if lose {
		return errors.Mark(errors.New("no answer"), boragewick.ErrLinkLost)
	}
	return l.engines.Load(ctx, o)
}
