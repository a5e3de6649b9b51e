package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// oldStreams is the number of streams that are taken up, and newStreams that of those which
	// begin at the same time.
	oldStreams = 24
	newStreams = 24
	// longEvents is the number of events of each stream: 12 s.
	longEvents = 120
)

// takenUp has callers take up streams at another router after a restart of the core. Half as many
// of them as of new streams must go on.
func takenUp(rec *record, d *deployment, trouble bool) (broken bool, err error) {
	core, err := d.startCore()
	if err != nil {
		return false, err
	}
	lost, other := d.addEdge("zone-a", false, true), d.addEdge("zone-b", false, true)
	for _, m := range []*machine{lost, other} {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	op := &operator{rec, core}
	config := newConfig(1)
	setRoute(config, "chat", map[string]any{"resumable": true})
	if err := op.publish(config, 20*time.Second); err != nil {
		return false, err
	}
	peers := map[string]*engine{}
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		side := d.addSide("zone-a", d.address())
		e := newEngine(rec, fmt.Sprintf("engine-%d", i+1), side, core, peers)
		e.version, e.events = version, longEvents
		if err := e.start(e); err != nil {
			return false, err
		}
		if err := side.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + time.Second)
	old := make(chan *stream, oldStreams)
	for i := range oldStreams {
		if err := startStream(rec, lost, fmt.Sprintf("%016x", 0xb00+i), nil, old); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	if trouble {
		if err := d.restartCore(core, "control_plane", "edge"); err != nil {
			return false, err
		}
	} else {
		time.Sleep(coreDown)
	}
	time.Sleep(contact + 1500*time.Millisecond)
	rec.log("the core is stable for more than %s; the router %s is killed", contact, lost.name)
	lost.kill("edge")
	again, began := make(chan *stream, oldStreams), make(chan *stream, newStreams)
	for range oldStreams {
		s := <-old
		if s.complete || s.last() == 0 {
			return false, fmt.Errorf("stream %s can't be taken up: %d events, complete: %t, %v", s.id, s.last(), s.complete, s.err)
		}
		if err := startStream(rec, other, s.id[:13]+"c"+s.id[14:], s, again); err != nil {
			return false, err
		}
	}
	for i := range newStreams {
		if err := startStream(rec, other, fmt.Sprintf("%016x", 0xd00+i), nil, began); err != nil {
			return false, err
		}
	}
	goOn, begin := 0, 0
	for range oldStreams {
		if s := <-again; s.status == http.StatusOK && len(s.events) > 0 {
			goOn++
		}
	}
	for range newStreams {
		if s := <-began; s.status == http.StatusOK && len(s.events) > 0 {
			begin++
		}
	}
	rec.log("%d of %d streams go on that were taken up, %d of %d new ones begin", goOn, oldStreams, begin, newStreams)
	if 2*goOn*newStreams < begin*oldStreams {
		rec.log("LOST: the share that goes on is under half of the share of new streams that begin")
		return true, nil
	}
	return false, nil
}

// startStream sends a request for a stream, which goes on with an earlier one unless that is nil.
func startStream(rec *record, m *machine, id string, earlier *stream, done chan<- *stream) error {
	req, err := newStreamRequest(m, id, 15*time.Second)
	if err != nil {
		return err
	}
	if earlier != nil {
		req.Header.Set("Last-Event-Id", fmt.Sprint(earlier.last()))
		req.Header.Set("Resumes", earlier.id)
		rec.log("caller: request %s takes up %s after event %d", id, earlier.id, earlier.last())
	}
	go func() { done <- readStream(rec, req) }()
	time.Sleep(10 * time.Millisecond)
	return nil
}
