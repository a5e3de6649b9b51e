package soak

import (
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"time"
)

// fault is a kind of trouble. It returns when it is over.
type fault struct {
	do func(f *fleet, rng *rand.Rand)
	// planned faults are work of an operator.
	planned bool
	// once a series at most.
	once bool
}

var faults = map[string]fault{
	"kill":         {do: killOne},
	"kill torn":    {do: killTorn},
	"kill control": {do: killControl},
	"kill core":    {do: killCore},
	"wipe":         {do: wipe, once: true},
	"freeze":       {do: freeze},
	"terminate":    {do: terminate, planned: true},
	"roll":         {do: roll, planned: true},
	"hang up":      {do: hangUp, planned: true},
	"cut":          {do: cutOne},
	"cut one way":  {do: cutOneWay},
	"cut core":     {do: cutCore},
	"slow links":   {do: slowLinks},
	"reset":        {do: resetLinks},
	"silence":      {do: silence},
	"crash engine": {do: crashEngine},
	"flap engine":  {do: flapEngine},
	"grey engine":  {do: greyEngine},
	"drain engine": {do: drainEngine, planned: true},
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)+1))
}

// some returns a process whose name begins with the prefix.
func (f *fleet) some(rng *rand.Rand, prefix string) *proc {
	var list []*proc
	for _, p := range f.procs {
		if strings.HasPrefix(p.name, prefix) {
			list = append(list, p)
		}
	}
	return list[rng.IntN(len(list))]
}

// hosts returns the addresses of the deployment's own hosts.
func (f *fleet) hosts() (list []netip.Addr) {
	for i := range f.size.controls + f.size.routers {
		list = append(list, f.advertised(i))
	}
	return list
}

// everyone returns the addresses of all hosts.
func (f *fleet) everyone() (list []netip.Addr) {
	for i := range f.size.controls + f.size.routers + len(f.engines) {
		list = append(list, f.advertised(i))
	}
	return list
}

func down(p *proc, rng *rand.Rand) {
	time.Sleep(between(rng, 50*time.Millisecond, 2*time.Second))
	p.start()
}

func killOne(f *fleet, rng *rand.Rand) {
	p := f.some(rng, "")
	p.kill()
	down(p, rng)
}

func killControl(f *fleet, rng *rand.Rand) {
	p := f.some(rng, "control")
	p.kill()
	down(p, rng)
}

func killTorn(f *fleet, rng *rand.Rand) {
	p := f.some(rng, "control")
	p.kill()
	p.tear(rng)
	down(p, rng)
}

func killCore(f *fleet, rng *rand.Rand) {
	for _, p := range f.procs {
		if p.role == "control" {
			p.kill()
		}
	}
	time.Sleep(between(rng, 50*time.Millisecond, time.Second))
	for _, p := range f.procs {
		p.start()
	}
}

func wipe(f *fleet, rng *rand.Rand) {
	p := f.some(rng, "control")
	p.kill()
	f.must(os.RemoveAll(p.data()))
	down(p, rng)
}

func freeze(f *fleet, rng *rand.Rand) {
	p := f.some(rng, "")
	if p.signal(syscall.SIGSTOP) {
		time.Sleep(between(rng, 200*time.Millisecond, 4*time.Second))
		p.signal(syscall.SIGCONT)
	}
}

func terminate(f *fleet, rng *rand.Rand) {
	p := f.some(rng, "")
	p.terminate()
	down(p, rng)
}

func roll(f *fleet, rng *rand.Rand) {
	role := []string{"control", "router", "agent"}[rng.IntN(3)]
	for _, p := range f.procs {
		if p.role == role && rng.IntN(2) == 0 {
			p.terminate()
			p.start()
		}
	}
}

func hangUp(f *fleet, rng *rand.Rand) { f.some(rng, "").signal(syscall.SIGHUP) }

// cutHost cuts a host off from others, both ways or one.
func cutHost(f *fleet, rng *rand.Rand, host netip.Addr, others []netip.Addr, in, out bool) {
	var hops []hop
	for _, other := range others {
		if other == host {
			continue
		}
		if in {
			hops = append(hops, hop{other, host})
		}
		if out {
			hops = append(hops, hop{host, other})
		}
	}
	heal := f.hold(hops...)
	time.Sleep(between(rng, 300*time.Millisecond, 5*time.Second))
	heal()
}

func cutOne(f *fleet, rng *rand.Rand) {
	all := f.everyone()
	cutHost(f, rng, all[rng.IntN(len(all))], all, true, true)
}

func cutOneWay(f *fleet, rng *rand.Rand) {
	all, in := f.everyone(), rng.IntN(2) == 0
	cutHost(f, rng, all[rng.IntN(len(all))], all, in, !in)
}

func cutCore(f *fleet, rng *rand.Rand) {
	core := f.hosts()[:f.size.controls]
	cutHost(f, rng, core[rng.IntN(len(core))], core, true, true)
}

func slowLinks(f *fleet, rng *rand.Rand) {
	all := f.everyone()
	host := all[rng.IntN(len(all))]
	var hops []hop
	for _, other := range all {
		hops = append(hops, hop{host, other}, hop{other, host})
	}
	heal := f.slow(between(rng, 5*time.Millisecond, 150*time.Millisecond), hops...)
	time.Sleep(between(rng, 300*time.Millisecond, 4*time.Second))
	heal()
}

func resetLinks(f *fleet, rng *rand.Rand) {
	all := f.everyone()
	f.breakRelays(rng, all[rng.IntN(len(all))], 0.3+0.7*rng.Float64(), false)
}

func silence(f *fleet, rng *rand.Rand) {
	all := f.everyone()
	f.breakRelays(rng, all[rng.IntN(len(all))], 0.3+0.7*rng.Float64(), true)
}

func (f *fleet) someEngine(rng *rand.Rand) *engine { return f.engines[rng.IntN(len(f.engines))] }

func crashEngine(f *fleet, rng *rand.Rand) {
	e := f.someEngine(rng)
	e.down()
	time.Sleep(between(rng, 50*time.Millisecond, 3*time.Second))
	e.up(rng.IntN(2) == 0)
}

func flapEngine(f *fleet, rng *rand.Rand) {
	e := f.someEngine(rng)
	for range 2 + rng.IntN(3) {
		e.down()
		time.Sleep(between(rng, 50*time.Millisecond, 600*time.Millisecond))
		e.up(true)
		time.Sleep(between(rng, 50*time.Millisecond, 600*time.Millisecond))
	}
}

func greyEngine(f *fleet, rng *rand.Rand) {
	e := f.someEngine(rng)
	set := func(share float64) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.grey = share
	}
	set(0.2 + 0.6*rng.Float64())
	time.Sleep(between(rng, 500*time.Millisecond, 4*time.Second))
	set(0)
}

func drainEngine(f *fleet, rng *rand.Rand) {
	e := f.someEngine(rng)
	e.leave()
	time.Sleep(between(rng, 50*time.Millisecond, time.Second))
	e.up(false)
}
