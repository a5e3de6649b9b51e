package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// crashEngines is the number of engines, and backAfter the time until a crashed one is back.
	crashEngines = 8
	backAfter    = 3 * time.Second
	// soundPause is the time between two sound requests.
	soundPause = 250 * time.Millisecond
	// soundEvents is the number of events of a sound stream.
	soundEvents = 15
	// maxArrivals is how many requests with the part may reach engines later than contact after the
	// fifth crash.
	maxArrivals  = 3
	countedCrash = 5
	// coreKill is when the processes of the core are killed, after the first request with the part.
	coreKill = 5 * time.Second
)

// crashTimes are when requests with the part come.
var crashTimes = []time.Duration{0, 4 * time.Second, 10 * time.Second, 14 * time.Second, 18 * time.Second, 22 * time.Second}

// fleet is the engines of the deployment, each with its crashes.
type fleet struct {
	rec  *record
	core []*machine

	mu      sync.Mutex
	engines []*engine
	boots   int
	// arrivals are when requests with the part reached an engine, and crashes when one crashed by it.
	arrivals, crashes []time.Time
}

// boot starts an engine at the machine.
func (f *fleet) boot(i int, m *machine) error {
	f.mu.Lock()
	f.boots++
	e := newEngine(f.rec, fmt.Sprintf("engine-%d-%d", i+1, f.boots), m, f.core, map[string]*engine{})
	f.engines[i] = e
	f.mu.Unlock()
	e.events = soundEvents
	e.onCrash = func(id string) {
		now := time.Now()
		f.mu.Lock()
		f.arrivals = append(f.arrivals, now)
		f.mu.Unlock()
		if e.crash() {
			f.rec.log("%s: crashes by request %s", e.id, id)
			f.mu.Lock()
			f.crashes = append(f.crashes, now)
			f.mu.Unlock()
			f.bootLater(i, m)
		}
	}
	return e.start(e)
}

// bootLater starts the engine of the machine again after backAfter.
func (f *fleet) bootLater(i int, m *machine) {
	time.AfterFunc(backAfter, func() {
		if err := f.boot(i, m); err != nil {
			f.rec.log("engine %d is not back: %v", i+1, err)
		}
	})
}

// crashParts sends requests with a part that crashes each engine that begins to answer one, while
// the core restarts.
func crashParts(rec *record, d *deployment, trouble bool) (broken bool, err error) {
	core, err := d.startCore()
	if err != nil {
		return false, err
	}
	op := &operator{rec, core}
	config := newConfig(1)
	setRoute(config, "chat", map[string]any{"resumable": true})
	if err := op.publish(config, 20*time.Second); err != nil {
		return false, err
	}
	f := &fleet{rec: rec, core: core, engines: make([]*engine, crashEngines)}
	var sides []*machine
	for i := range crashEngines {
		side := d.addSide([]string{"zone-a", "zone-b", "zone-c"}[i%3], d.address())
		sides = append(sides, side)
		if err := f.boot(i, side); err != nil {
			return false, err
		}
		if err := side.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(soundPause):
			}
			req, err := newStreamRequest(core[i%len(core)], fmt.Sprintf("%016x", 0x10000+i), 15*time.Second)
			if err != nil {
				return
			}
			senders.Go(func() { readStream(rec, req) })
		}
	})
	time.Sleep(2 * time.Second)
	startedAt := time.Now()
	for n, at := range crashTimes {
		if n > 0 && crashTimes[n-1] < coreKill && at > coreKill && trouble {
			time.Sleep(time.Until(startedAt.Add(coreKill)))
			if err := d.restartCore(core, "control_plane", "edge"); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(startedAt.Add(at)))
		for i := range len(core) - 1 {
			if i > 0 && at < coreKill {
				break // one before the restart, two at a time later
			}
			id := fmt.Sprintf("%016x", 0x20000+2*n+i)
			req, err := newStreamRequest(core[(n+i)%len(core)], id, 15*time.Second)
			if err != nil {
				return false, err
			}
			req.Header.Set("X-Boragewick-Prompt-Prefix", fmt.Sprintf("5c1e07a2:6300,%s:500,%s:2390", crashPart, id))
			rec.log("caller: request %s has the part that crashes engines", id)
			senders.Go(func() { readStream(rec, req) })
		}
	}
	time.Sleep(time.Second)
	close(stop)
	senders.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < countedCrash {
		return false, fmt.Errorf("%d crashes", len(f.crashes))
	}
	late := 0
	for _, at := range f.arrivals {
		if at.After(f.crashes[countedCrash-1].Add(contact)) {
			late++
		}
	}
	rec.log("%d crashes by the part; %d requests with it reach engines later than %s after the fifth", len(f.crashes), late, contact)
	if late > maxArrivals {
		rec.log("BUDGET: more than %d", maxArrivals)
		return true, nil
	}
	return false, nil
}
