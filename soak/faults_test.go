package soak

import (
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"time"
)

// fault describes a kind of injected fault or planned change.
type fault struct {
	// inject returns when the fault is over.
	inject func(f *fleet, rng *rand.Rand)
	// planned marks maintenance by an operator.
	planned bool
	// once limits the fault to one injection per series.
	once bool
	// crashing marks crashing parts, which are counted apart from other faults.
	crashing bool
}

var faults = map[string]fault{
	"kill":         {inject: killOne},
	"kill torn":    {inject: killAndTear},
	"kill control": {inject: killControl},
	"kill core":    {inject: killAllControls},
	"kill all":     {inject: killAll},
	"wipe":         {inject: wipeData, once: true},
	"freeze":       {inject: freezeOne},
	"terminate":    {inject: terminateOne, planned: true},
	"roll":         {inject: rollingRestart, planned: true},
	"hang up":      {inject: sendHangup, planned: true},
	"cut":          {inject: cutOne},
	"cut one way":  {inject: cutOneWay},
	"cut core":     {inject: cutControl},
	"slow links":   {inject: slowLinks},
	"reset":        {inject: resetLinks},
	"silence":      {inject: silenceLinks},
	"crash engine": {inject: crashEngine},
	"crash part":   {inject: crashByPart, crashing: true},
	"flap engine":  {inject: flapEngine},
	"grey engine":  {inject: degradeEngine},
	"stuck engine": {inject: stickEngines},
	"drain engine": {inject: drainEngine, planned: true},
	softwareFault:  {inject: changeSoftware, planned: true},

	largeTableFault: {inject: growTables, planned: true},
	weightsFault:    {inject: changeWeights},
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)+1))
}

// randomProc returns a random process whose name begins with the prefix.
func (f *fleet) randomProc(rng *rand.Rand, prefix string) *proc {
	var list []*proc
	for _, p := range f.procs {
		if strings.HasPrefix(p.name, prefix) {
			list = append(list, p)
		}
	}
	return list[rng.IntN(len(list))]
}

// routerHosts returns the addresses of the hosts that run a router; those that also
// run a control replica come first.
func (f *fleet) routerHosts() (list []netip.Addr) {
	for i := range f.size.controls + f.size.routers {
		list = append(list, f.advertised(i))
	}
	return list
}

// randomHost returns the number of a random host.
func (f *fleet) randomHost(rng *rand.Rand) int {
	return rng.IntN(f.size.controls + f.size.routers + len(f.engines))
}

// allHosts returns the addresses of all hosts.
func (f *fleet) allHosts() (list []netip.Addr) {
	for i := range f.size.controls + f.size.routers + len(f.engines) {
		list = append(list, f.advertised(i))
	}
	return list
}

func restartLater(p *proc, rng *rand.Rand) {
	time.Sleep(randomDuration(rng, 50*time.Millisecond, 2*time.Second))
	p.start()
}

func killOne(f *fleet, rng *rand.Rand) {
	p := f.randomProc(rng, "")
	p.kill()
	restartLater(p, rng)
}

func killControl(f *fleet, rng *rand.Rand) {
	p := f.randomProc(rng, "control")
	p.kill()
	restartLater(p, rng)
}

func killAndTear(f *fleet, rng *rand.Rand) {
	p := f.randomProc(rng, "control")
	p.kill()
	p.appendTornWrite(rng)
	restartLater(p, rng)
}

func killAllControls(f *fleet, rng *rand.Rand) {
	killRole(f, rng, "control")
}

// killAll kills every process of the deployment, as a loss of all power does.
func killAll(f *fleet, rng *rand.Rand) {
	killRole(f, rng, "")
}

// killRole kills the processes of the role, or all if it is empty, and starts them again.
func killRole(f *fleet, rng *rand.Rand, role string) {
	for _, p := range f.procs {
		if role == "" || p.role == role {
			p.kill()
		}
	}
	time.Sleep(randomDuration(rng, 50*time.Millisecond, time.Second))
	for _, p := range f.procs {
		p.start()
	}
	time.AfterFunc(contactTimeout, f.disturb(coreDisturbance)) // the loss of most of the group takes it longer
}

func wipeData(f *fleet, rng *rand.Rand) {
	p := f.randomProc(rng, "control")
	p.kill()
	f.must(os.RemoveAll(p.dataDir()))
	restartLater(p, rng)
}

func freezeOne(f *fleet, rng *rand.Rand) {
	p := f.randomProc(rng, "")
	if p.signal(syscall.SIGSTOP) {
		time.Sleep(randomDuration(rng, 200*time.Millisecond, 4*time.Second))
		p.signal(syscall.SIGCONT)
	}
}

func terminateOne(f *fleet, rng *rand.Rand) {
	p := f.randomProc(rng, "")
	p.terminate()
	restartLater(p, rng)
}

func rollingRestart(f *fleet, rng *rand.Rand) {
	role := []string{"control", "router", "agent"}[rng.IntN(3)]
	for _, p := range f.procs {
		if p.role == role && rng.IntN(2) == 0 {
			p.terminate()
			p.start()
		}
	}
}

func sendHangup(f *fleet, rng *rand.Rand) { f.randomProc(rng, "").signal(syscall.SIGHUP) }

// cutHost blocks the traffic from others to the host, from the host to others, or
// both.
func cutHost(f *fleet, rng *rand.Rand, number int, others []netip.Addr, in, out bool) {
	defer f.disturbLinks(number)()
	host := f.advertised(number)
	var directions []direction
	for _, other := range others {
		if other == host {
			continue
		}
		if in {
			directions = append(directions, direction{other, host})
		}
		if out {
			directions = append(directions, direction{host, other})
		}
	}
	heal := f.blockDirections(directions...)
	time.Sleep(randomDuration(rng, 300*time.Millisecond, 5*time.Second))
	heal()
}

func cutOne(f *fleet, rng *rand.Rand) {
	cutHost(f, rng, f.randomHost(rng), f.allHosts(), true, true)
}

func cutOneWay(f *fleet, rng *rand.Rand) {
	in := rng.IntN(2) == 0
	cutHost(f, rng, f.randomHost(rng), f.allHosts(), in, !in)
}

func cutControl(f *fleet, rng *rand.Rand) {
	cutHost(f, rng, rng.IntN(f.size.controls), f.routerHosts()[:f.size.controls], true, true)
}

func slowLinks(f *fleet, rng *rand.Rand) {
	all, number := f.allHosts(), f.randomHost(rng)
	defer f.disturbLinks(number)()
	host := f.advertised(number)
	var directions []direction
	for _, other := range all {
		directions = append(directions, direction{host, other}, direction{other, host})
	}
	heal := f.delayDirections(randomDuration(rng, 5*time.Millisecond, 150*time.Millisecond), directions...)
	time.Sleep(randomDuration(rng, 300*time.Millisecond, 4*time.Second))
	heal()
}

func resetLinks(f *fleet, rng *rand.Rand) {
	number := f.randomHost(rng)
	defer f.disturbLinks(number)()
	f.breakRelays(rng, f.advertised(number), 0.3+0.7*rng.Float64(), false)
}

func silenceLinks(f *fleet, rng *rand.Rand) {
	number := f.randomHost(rng)
	defer f.disturbLinks(number)()
	f.breakRelays(rng, f.advertised(number), 0.3+0.7*rng.Float64(), true)
}

func (f *fleet) randomEngine(rng *rand.Rand) *engine { return f.engines[rng.IntN(len(f.engines))] }

func crashEngine(f *fleet, rng *rand.Rand) {
	e := f.randomEngine(rng)
	e.crash()
	time.Sleep(randomDuration(rng, 50*time.Millisecond, 3*time.Second))
	e.start(rng.IntN(2) == 0)
}

func flapEngine(f *fleet, rng *rand.Rand) {
	e := f.randomEngine(rng)
	for range 2 + rng.IntN(3) {
		e.crash()
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 600*time.Millisecond))
		e.start(true)
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 600*time.Millisecond))
	}
}

func degradeEngine(f *fleet, rng *rand.Rand) {
	e := f.randomEngine(rng)
	set := func(share float64) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.failureShare = share
	}
	set(0.2 + 0.6*rng.Float64())
	time.Sleep(randomDuration(rng, 500*time.Millisecond, 4*time.Second))
	set(0)
}

func drainEngine(f *fleet, rng *rand.Rand) {
	e := f.randomEngine(rng)
	e.drain(randomDuration(rng, 0, 3*time.Second))
	time.Sleep(randomDuration(rng, 50*time.Millisecond, time.Second))
	e.start(false)
}
