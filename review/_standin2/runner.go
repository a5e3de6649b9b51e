package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in of one back end. It sends heartbeats to the control processes and serves
// HTTP at its address.
type runner struct {
	rec     *record
	id      string
	service string
	addr    string
	zone    string
	version string
	slots   int
	nodes   []*machine
	server  *http.Server

	mu       sync.Mutex
	born     int64
	seq      int
	draining bool
	// cut is set while the runner reaches no control process.
	cut    bool
	silent bool
	stop   chan struct{}
}

// newRunner returns a runner that listens at the address.
func newRunner(rec *record, id, service, ip, zone string, nodes []*machine) *runner {
	return &runner{
		rec: rec, id: id, service: service, addr: fmt.Sprintf("%s:%d", ip, appPort), zone: zone, version: "v1", slots: 64, nodes: nodes,
		born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
}

// start serves requests with the handler and sends heartbeats.
func (r *runner) start(h http.Handler) error {
	l, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: h}
	go func() { _ = r.server.Serve(l) }()
	go r.beat()
	r.rec.log("%s: runner of %s starts at %s", r.id, r.service, r.addr)
	return nil
}

// beat sends heartbeats until the runner stops.
func (r *runner) beat() {
	for {
		r.sendBeat()
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// sendBeat sends one heartbeat, and reports whether it was acknowledged.
func (r *runner) sendBeat() bool {
	r.mu.Lock()
	if r.silent {
		r.mu.Unlock()
		return false
	}
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "seq": r.seq, "born": r.born,
	}
	if r.service == engineService {
		body["stage"] = "both"
		body["models"] = []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}
	}
	r.mu.Unlock()
	b, _ := json.Marshal(body)
	return r.call(http.MethodPut, b)
}

// call sends a call about this runner to the nodes in turn until one acknowledges it. A runner
// that is cut off gets no answer.
func (r *runner) call(method string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, node := range r.nodes {
		r.mu.Lock()
		cut := r.cut
		r.mu.Unlock()
		if cut {
			return false
		}
		req, err := http.NewRequest(method, "http://"+node.control()+"/instances/"+r.id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			if method == http.MethodDelete {
				r.rec.log("%s: DELETE acknowledged by %s with %d", r.id, node.name, resp.StatusCode)
			}
			return true
		}
	}
	return false
}

// drain reports that the runner is leaving until that is acknowledged.
func (r *runner) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	for !r.sendBeat() {
		time.Sleep(50 * time.Millisecond)
	}
	r.rec.log("%s: draining, acknowledged", r.id)
}

// setCut cuts the runner off from the control processes, or ends that.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.rec.log("%s: cut off from control: %t", r.id, cut)
}

// quit ends the heartbeats.
func (r *runner) quit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
}

// exit ends the runner with all of its connections.
func (r *runner) exit() {
	r.quit()
	_ = r.server.Close()
	r.rec.log("%s: has ended", r.id)
}
