package soak

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed of TestSoak")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds of TestSoak")
	lasting   = flag.Duration("soak.for", 6*time.Second, "how long faults are injected")
	kinds     = flag.String("soak.faults", "", "comma-separated kinds of faults; empty means all")
	machines  = flag.Int("soak.hosts", 0, "hosts of the deployment; zero means 12")
	callers   = flag.Int("soak.callers", 24, "callers that send at once")
	keep      = flag.String("soak.keep", "", "folder for the logs of seeds that fail")
)

// regressions are seeds that have failed, with the cause.
var regressions = map[string]struct {
	seed   uint64
	faults string
	cause  string
}{
	"a part without a name": {
		seed: 1, cause: "WALL: the stand-in of an engine cached a part without a name for requests without a prompt",
	},
}

func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, *kinds, *lasting)
		})
	}
}

func TestRegressions(t *testing.T) {
	for name, r := range regressions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Log(r.cause)
			soak(t, r.seed, r.faults, *lasting)
		})
	}
}

// blocks are the loopback networks that no running seed uses.
var blocks = make(chan byte, 100)

func init() {
	for i := range byte(100) {
		blocks <- 2*i + 1
	}
}

// soak runs one seed, which gives the series of faults. What happens between
// processes differs from run to run.
func soak(t *testing.T, seed uint64, only string, long time.Duration) {
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	s := size{controls: 3, routers: 3, models: 3, desks: 2, stores: 1}
	if *machines > 0 {
		s = size{controls: 3, routers: *machines/2 - 3, models: *machines/2 - 6, desks: 4, stores: 2}
	}
	block := <-blocks
	defer func() { blocks <- block }()
	f := newFleet(t, binary, rng, [2]byte{byte(130 + os.Getpid()%100), block}, s)
	over := f.trouble()
	o := &operator{fleet: f, rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), version: 1}
	if !o.publish(1, 0, recoverWithin) {
		f.wrong("STARTS", "no configuration is acknowledged within %s", recoverWithin)
	}
	over()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range *callers {
		c := &caller{fleet: f, rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), number: i}
		wg.Go(func() { c.run(ctx) })
	}
	operating, rest := context.WithCancel(ctx)
	var changes sync.WaitGroup
	changes.Go(func() { o.run(operating) })
	changes.Go(func() { o.watch(operating) })
	time.Sleep(time.Second)
	f.inject(rng, only, long)
	for _, p := range f.procs {
		p.start()
	}
	f.recovers()
	rest()
	changes.Wait()
	o.settles()
	stop()
	wg.Wait()
	f.ends()
	f.finish()
	t.Log(f.summary())
	if k := f.refused.Load(); k > 0 {
		t.Errorf("the forwarder had no file for %d connections", k)
	}
	for _, line := range f.broken {
		t.Error(line)
	}
	if t.Failed() && *keep != "" {
		f.keepLogs(seed)
	}
}

// inject plays a series of faults, some of which overlap.
func (f *fleet) inject(rng *rand.Rand, only string, long time.Duration) {
	names := slices.Sorted(maps.Keys(faults))
	if only != "" {
		names = strings.Split(only, ",")
	}
	var wg sync.WaitGroup
	had := map[string]bool{}
	for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(between(rng, 0, 1200*time.Millisecond)) {
		name := names[rng.IntN(len(names))]
		kind := faults[name]
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		if kind.once && had[name] {
			continue
		}
		had[name] = true
		f.t.Logf("%6.2fs %s", time.Since(f.start).Seconds(), name)
		wg.Go(func() {
			if kind.planned {
				defer f.work()()
			} else {
				defer f.trouble()()
			}
			kind.do(f, own)
		})
	}
	wg.Wait()
}

// wellServed is the share of requests at which service counts as recovered, and
// owed the least share after the time that recovery may take.
const (
	wellServed = 0.9
	owed       = 0.25
)

// recovers waits until requests are served again.
func (f *fleet) recovers() {
	healed := time.Now()
	var share float64
	for time.Since(healed) < recoverWithin {
		before, all := f.served()
		time.Sleep(time.Second)
		after, now := f.served()
		share = float64(after-before) / float64(max(1, now-all))
		if share >= wellServed {
			f.t.Logf("%.0f%% of the requests are served %s after the last fault", 100*share, time.Since(healed).Round(100*time.Millisecond))
			return
		}
	}
	if share < owed {
		f.wrong("RECOVER", "%.0f%% of the requests are served %s after the last fault", 100*share, recoverWithin)
	}
}

// served returns the number of requests that were served, and that were sent
// within their workspaces' rates.
func (f *fleet) served() (served, sent int) {
	f.book.mu.Lock()
	defer f.book.mu.Unlock()
	return f.counts["served"], len(f.asks) - f.counts["status 429"] - f.counts["left"]
}

// settles checks that all processes and endpoints come to know what was
// acknowledged.
func (o *operator) settles() {
	o.publish(o.version+1, 0, recoverWithin)
	o.within(recoverWithin, "every replica reads the configuration", func() bool {
		for _, addr := range o.controls() {
			if !o.read(addr) {
				return false
			}
		}
		return true
	})
	o.within(recoverWithin, "every router serves the newest route", func() bool {
		for i := range o.size.controls + o.size.routers {
			if !o.serves(i) {
				return false
			}
		}
		return true
	})
	o.within(weightsWithin*3/2, "every engine has the newest weights", func() bool {
		o.book.mu.Lock()
		newest := o.confirms
		o.book.mu.Unlock()
		for _, e := range o.engines {
			e.mu.Lock()
			version := e.version
			e.mu.Unlock()
			if e.pool == modelPool && version < newest {
				return false
			}
		}
		return true
	})
}

// serves reports whether the router serves the newest route.
func (o *operator) serves(router int) bool {
	o.book.mu.Lock()
	path := addedRoute(o.acked)
	o.book.mu.Unlock()
	a := &ask{
		id: fmt.Sprintf("s%d-%d", router, o.rng.Uint64()), path: path, tenant: "open", tokens: plainTokens,
		route: &route{pool: deskPool, attempts: 2, repeatable: true},
	}
	o.record(a)
	req, err := http.NewRequest(http.MethodGet, "http://"+netip.AddrPortFrom(o.local(router), callerPort).String()+path, nil)
	o.must(err)
	req.Host = host
	req.Header.Set("X-Boragewick-Request-Id", a.id)
	req.Header.Set("X-Boragewick-Deadline-Ms", "1000")
	req.Header.Set("Authorization", "Token key-open")
	resp, err := (&http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}).RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// within waits for a condition.
func (o *operator) within(long time.Duration, what string, holds func() bool) {
	for deadline := time.Now().Add(long); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	o.wrong("SETTLES", "not within %s: %s", long, what)
}

// ends stops all processes as planned.
func (f *fleet) ends() {
	defer f.work()()
	var wg sync.WaitGroup
	for _, p := range f.procs {
		wg.Go(p.terminate)
	}
	wg.Wait()
}

// keepLogs copies the logs of the processes.
func (f *fleet) keepLogs(seed uint64) {
	to := filepath.Join(*keep, fmt.Sprint(seed))
	if err := os.MkdirAll(to, 0o755); err != nil {
		f.t.Error(err)
		return
	}
	for _, p := range f.procs {
		b, err := os.ReadFile(p.log())
		if err == nil {
			err = os.WriteFile(filepath.Join(to, p.name+".log"), b, 0o600)
		}
		if err != nil {
			f.t.Error(err)
		}
	}
}
