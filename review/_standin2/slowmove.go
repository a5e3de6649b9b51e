package main

import (
	"fmt"
	"time"
)

const (
	// moveStreams is the number of streams, half of which run at the engine that leaves.
	moveStreams = 10
	// slowMoves is how many times as long moves of memory take under kv_slow.
	slowMoves = 8
)

// slowMove has an engine leave while its moves of memory are slow. No stream may end as complete
// before its last event.
func slowMove(rec *record, d *deployment, trouble bool) (broken bool, err error) {
	core, err := d.startCore()
	if err != nil {
		return false, err
	}
	op := &operator{rec, core}
	if err := op.publish(newConfig(1), 20*time.Second); err != nil {
		return false, err
	}
	peers := map[string]*engine{}
	var engines []*engine
	for i := range 2 {
		side := d.addSide("zone-a", d.address())
		e := newEngine(rec, fmt.Sprintf("engine-%d", i+1), side, core, peers)
		if err := e.start(e); err != nil {
			return false, err
		}
		if err := side.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	time.Sleep(contact + time.Second)
	if trouble {
		for _, e := range engines {
			e.slow = slowMoves
		}
		rec.log("moves of memory take %d times as long", slowMoves)
	}
	results := make(chan *stream, moveStreams)
	for i := range moveStreams {
		req, err := newStreamRequest(core[i%len(core)], fmt.Sprintf("%016x", 0xa0+i), 15*time.Second)
		if err != nil {
			return false, err
		}
		go func() { results <- readStream(rec, req) }()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	engines[0].drain()
	for range moveStreams {
		s := <-results
		if s.status != 200 {
			return false, fmt.Errorf("request %s: status %d, %v", s.id, s.status, s.err)
		}
		if s.complete && s.last() < streamEvents {
			rec.log("ORDER: the stream of request %s ends as complete after event %d of %d", s.id, s.last(), streamEvents)
			broken = true
		}
		for i, n := range s.events {
			if n != i+1 {
				rec.log("ORDER: event %d of request %s is number %d", i+1, s.id, n)
				broken = true
				break
			}
		}
	}
	return broken, nil
}
