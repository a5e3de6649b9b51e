package main

import (
	"fmt"
	"time"
)

const (
	// lostStreams is the number of streams, and lostEvent the event after which those of one engine
	// lose their connection.
	lostStreams = 24
	lostEvent   = 10
	// lostEvery is one in how many requests of that engine lose their answer.
	lostEvery = 4
	// bothWork is how long two engines may work on a request.
	bothWork = 400 * time.Millisecond
)

// lostAnswer has the answers of an engine be lost while it works on. No other engine may work on
// the same request then.
func lostAnswer(rec *record, d *deployment, trouble bool) (broken bool, err error) {
	core, err := d.startCore()
	if err != nil {
		return false, err
	}
	op := &operator{rec, core}
	config := newConfig(1)
	setEngine(config, map[string]any{"backups": true})
	if err := op.publish(config, 20*time.Second); err != nil {
		return false, err
	}
	peers := map[string]*engine{}
	var engines []*engine
	for i := range 3 {
		side := d.addSide("zone-a", d.address())
		e := newEngine(rec, fmt.Sprintf("engine-%d", i+1), side, core, peers)
		e.chunked = true
		engines = append(engines, e)
		if i == 0 && trouble {
			e.lostAfter, e.lostEvery = lostEvent, lostEvery
		}
		if err := e.start(e); err != nil {
			return false, err
		}
		if err := side.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	results := make(chan *stream, lostStreams)
	for i := range lostStreams {
		req, err := newStreamRequest(core[i%len(core)], fmt.Sprintf("%016x", 0x30000+i), 15*time.Second)
		if err != nil {
			return false, err
		}
		req.Header.Set("X-Boragewick-Token-Count", fmt.Sprintf("500,%d", streamEvents))
		req.Header.Set("X-Boragewick-Prompt-Prefix", fmt.Sprintf("5c1e07a2:198,%016x:302", 0x30000+i))
		go func() { results <- readStream(rec, req) }()
		time.Sleep(100 * time.Millisecond)
	}
	for range lostStreams {
		<-results
	}
	time.Sleep(time.Second)
	for _, before := range engines {
		before.mu.Lock()
		for _, run := range before.history {
			if next := startedElsewhere(engines, before, run); next != nil && run.endedAt.Sub(next.startedAt) > bothWork {
				rec.log("TWICE: request %s goes on at another engine %d ms before %s has ended its run", run.id, run.endedAt.Sub(next.startedAt).Milliseconds(), before.id)
				broken = true
			}
		}
		before.mu.Unlock()
	}
	return broken, nil
}

// startedElsewhere returns the run of the same request that another engine began later, or nil.
func startedElsewhere(engines []*engine, before *engine, run *engineRun) *engineRun {
	for _, e := range engines {
		if e == before {
			continue
		}
		e.mu.Lock()
		for _, other := range e.history {
			if other.id == run.id && other.startedAt.After(run.startedAt) {
				e.mu.Unlock()
				return other
			}
		}
		e.mu.Unlock()
	}
	return nil
}
