package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// weightsFault is the kind of fault by which weights change in quick succession. While it is
	// in force, runs last longer than the leader waits for them before it orders a load, and more
	// of them can't be resumed. A series has it only if it names it, so that the seeds of all others
	// keep their faults.
	weightsFault = "new weights"
	// weightsEngines is the number of engines, so that some keep the older weights for a while, and
	// weightsCallers how many callers there are for each one of another series.
	weightsEngines = 12
	weightsCallers = 2
	// longEventInterval is the time between events of such runs.
	longEventInterval = 270 * time.Millisecond
	// longOutput is the output of half of the runs, in tokens. Routers have a backup kept of those
	// that can't be resumed, as their prompts are short beside it.
	longOutput = 500
	// lateOrderOneIn is the reciprocal of the share of orders that get no answer and are carried
	// out up to maxOrderDelay later.
	lateOrderOneIn = 3
	maxOrderDelay  = 2500 * time.Millisecond
)

// weightsChange reports whether weights change in quick succession.
func (f *fleet) weightsChange() bool { return f.weightsFaults.Load() > 0 }

// changeWeights names one to three versions in quick succession while it pauses a router,
// crashes an engine right after a load and restarts a store, or some of these.
func changeWeights(f *fleet, rng *rand.Rand) {
	f.weightsFaults.Add(1)
	defer f.weightsFaults.Add(-1)
	f.recorder.mu.Lock()
	f.manyMoves = true
	f.recorder.mu.Unlock()
	var wg sync.WaitGroup
	for _, inject := range []func(*fleet, *rand.Rand){nameInSuccession, pauseRouter, crashAfterLoad, restartStore} {
		faultRand := rand.New(rand.NewPCG(rng.Uint64(), 0))
		if rng.IntN(2) == 0 {
			wg.Go(func() { inject(f, faultRand) })
		}
	}
	time.Sleep(randomDuration(rng, time.Second, 4*time.Second))
	wg.Wait()
}

// nameInSuccession names versions, unless another fault does, and leaves engines time to load them.
func nameInSuccession(f *fleet, rng *rand.Rand) {
	if !f.naming.TryLock() {
		return
	}
	defer f.naming.Unlock()
	o := &operator{fleet: f, rng: rng}
	for range 1 + rng.IntN(3) {
		o.nameNextWeights(2 * time.Second)
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 500*time.Millisecond))
	}
	time.Sleep(randomDuration(rng, time.Second, 3*time.Second))
}

func pauseRouter(f *fleet, rng *rand.Rand) {
	p := f.randomProc(rng, "router")
	if p.signal(syscall.SIGSTOP) {
		time.Sleep(randomDuration(rng, time.Second, 5*time.Second))
		p.signal(syscall.SIGCONT)
	}
}

// crashAfterLoad crashes the first engine that loads weights, up to 0.3 s after the load.
func crashAfterLoad(f *fleet, rng *rand.Rand) {
	engines := f.engines[:f.size.models]
	loads := func(e *engine) (loads, boot int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.loads, e.boot
	}
	before := map[*engine]int{}
	for _, e := range engines {
		before[e], _ = loads(e)
	}
	for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, e := range engines {
			n, boot := loads(e)
			if n == before[e] {
				continue
			}
			time.Sleep(randomDuration(rng, 0, 300*time.Millisecond))
			if e.crashInstance(boot) {
				f.count("engines crashed after a load")
			}
			time.Sleep(randomDuration(rng, 50*time.Millisecond, 2*time.Second))
			e.start(rng.IntN(2) == 0)
			return
		}
	}
}

func restartStore(f *fleet, rng *rand.Rand) {
	e := f.engines[f.size.models+f.size.plain+rng.IntN(f.size.stores)]
	e.crash()
	time.Sleep(randomDuration(rng, 50*time.Millisecond, time.Second))
	e.start(true)
}

// orderDelay returns how late an order is to be carried out; zero means at once.
func (e *engine) orderDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.weightsChange() || e.rng.IntN(lateOrderOneIn) > 0 {
		return 0
	}
	return randomDuration(e.rng, 300*time.Millisecond, maxOrderDelay)
}

// enginesFor returns how many engines a series of the kinds needs, of at least n.
func enginesFor(kinds string, n int) int {
	if strings.Contains(kinds, softwareFault) {
		n = max(n, softwareEngines)
	}
	if strings.Contains(kinds, weightsFault) {
		n = max(n, weightsEngines)
	}
	return n
}

// callersFor returns how many callers a series of the kinds has.
func callersFor(kinds string) int {
	if strings.Contains(kinds, weightsFault) {
		return weightsCallers * *callerCount
	}
	return *callerCount
}

// TestNewWeights guards against runs that go on from memory of other weights (STALE), when
// engines have no room for a move until they have changed their weights.
func TestNewWeights(t *testing.T) {
	runSeed(t, 7800, weightsFault, 12*time.Second)
}
