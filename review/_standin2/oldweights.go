package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// weightStreams is the number of streams, and weightPause the time between two.
	weightStreams = 50
	weightPause   = 120 * time.Millisecond
	// longEventPause is the time between two events: the longest that the route is to have.
	longEventPause = 400 * time.Millisecond
	weightEvents   = 25
	// crashAfter is when an engine crashes, after its weights have changed.
	crashAfter = 250 * time.Millisecond
)

// oldWeights has the first engine crash that has got new weights under its runs. No run may go on with
// the older weights from memory that was made on the newer ones.
func oldWeights(rec *record, d *deployment, trouble bool) (broken bool, err error) {
	core, err := d.startCore()
	if err != nil {
		return false, err
	}
	op := &operator{rec, core}
	config := newConfig(1)
	setEngine(config, map[string]any{"backups": true, "moves": false})
	if err := op.publish(config, 20*time.Second); err != nil {
		return false, err
	}
	peers := map[string]*engine{}
	var crashed atomic.Bool
	for i := range 4 {
		side := d.addSide("zone-a", d.address())
		e := newEngine(rec, fmt.Sprintf("engine-%d", i+1), side, core, peers)
		e.chunked, e.pause, e.events = true, longEventPause, weightEvents
		e.onLoaded = func() {
			if !trouble || crashed.Swap(true) {
				return
			}
			time.Sleep(crashAfter)
			rec.log("%s: crashes %s after its weights have changed", e.id, crashAfter)
			e.crash()
		}
		if err := e.start(e); err != nil {
			return false, err
		}
		if err := side.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	results := make(chan *stream, weightStreams)
	for i := range weightStreams {
		if i == weightStreams/2 {
			if err := op.nameWeights(2, 5*time.Second); err != nil {
				return false, err
			}
		}
		id := fmt.Sprintf("%016x", 0x40000+i)
		req, err := newStreamRequest(core[i%len(core)], id, 15*time.Second)
		if err != nil {
			return false, err
		}
		req.Header.Set("X-Boragewick-Token-Count", fmt.Sprintf("500,%d", streamEvents))
		req.Header.Set("X-Boragewick-Prompt-Prefix", fmt.Sprintf("5c1e07a2:198,%s:302", id))
		go func() { results <- readStream(rec, req) }()
		time.Sleep(weightPause)
	}
	for range weightStreams {
		<-results
	}
	n := rec.count(func(line string) bool { return strings.Contains(line, "from memory of which a part was made on") })
	rec.log("%d requests go on with older weights than those on which a part of their memory was made", n)
	if n > 0 {
		rec.log("STALE: a request runs on KV cache that was made under another version")
	}
	return n > 0, nil
}
