package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["writer"] = playWriter }

const (
	// applyWait is the configApplyMs of the settings, with half as much again to spare.
	applyWait = 3 * time.Second
	// watchFor is how long requests are sent after the second configuration.
	watchFor = 30 * time.Second
)

// playWriter has another writer send heartbeats whose id holds a byte that can't be read,
// and then withdraws a key and a route, and adds a route.
func playWriter(r *run) (bool, error) {
	if err := r.startCore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	for host := 4; host <= 6; host++ {
		s := &server{service: "order-desk", id: fmt.Sprintf("i-desk-%d", host), host: host}
		s.answer = func(s *server, c *serverChannel, q *serverRequest) bool {
			mu.Lock()
			ran[q.id] = true
			mu.Unlock()
			r.log("server %s: runs %s", s.id, q.id)
			time.Sleep(20 * time.Millisecond)
			return c.write(q, http.StatusOK, sealed(q.id), []byte("done "+q.id))
		}
		if err := r.startServer(s); err != nil {
			return false, err
		}
	}
	route := func(prefix string) object {
		rt := orderRoute(2)
		rt["name"], rt["pathPrefix"] = "r-"+prefix, "/"+prefix+"/"
		return rt
	}
	config := func(version int, keys []any, prefixes ...string) object {
		var routes []any
		for _, p := range prefixes {
			routes = append(routes, route(p))
		}
		tenants := []any{object{"name": "shop", "apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}}
		return newConfig(version, routes, []any{plainService()}, tenants)
	}
	if err := r.publish(config(1, []any{"key-stays", "key-withdrawn"}, "kept", "dropped")); err != nil {
		return false, err
	}
	if err := r.waitReady(1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)

	n := 0
	send := func(router int, key, prefix string) (ran1 bool, status int) {
		n++
		id := fmt.Sprintf("q%04d", n)
		q := &callerRequest{method: http.MethodPost, host: "desk.example", path: "/" + prefix + "/1", key: key, id: id, timeout: orderTimeout, body: []byte("order")}
		a := sendOnce(r.addr(router, frontPort), q)
		mu.Lock()
		defer mu.Unlock()
		r.log("caller: %s with %s for /%s/ at router %d got %s", id, key, prefix, router, a)
		return ran[id], a.status
	}
	for router := 1; router <= 3; router++ {
		for _, key := range []string{"key-stays", "key-withdrawn"} {
			if ok, _ := send(router, key, "kept"); !ok {
				return false, fmt.Errorf("%w: a proper request did not run", errNotRun)
			}
		}
	}
	if r.trouble {
		stop := make(chan struct{})
		defer close(stop)
		go r.sendUnreadable(stop)
	}
	time.Sleep(4 * heartbeat)
	if err := r.publish(config(2, []any{"key-stays"}, "kept", "added")); err != nil {
		return false, err
	}
	acked := time.Now()
	time.Sleep(applyWait)
	broken, refused := 0, 0
	for time.Since(acked) < watchFor {
		for router := 1; router <= 3; router++ {
			if ok, _ := send(router, "key-withdrawn", "kept"); ok {
				broken++
				r.log("CONFIG: a request with a key that was withdrawn %d ms ago ran", time.Since(acked).Milliseconds())
			}
			if ok, _ := send(router, "key-stays", "dropped"); ok {
				broken++
				r.log("CONFIG: a request of a route that was dropped %d ms ago ran", time.Since(acked).Milliseconds())
			}
			if ok, status := send(router, "key-stays", "added"); !ok {
				refused++
				r.log("a request of a route that was added %d ms ago is refused with %d", time.Since(acked).Milliseconds(), status)
			}
		}
		time.Sleep(time.Second)
	}
	r.log("%d requests ran with a withdrawn key or a dropped route, %d of an added route were refused", broken, refused)
	return broken > 0, nil
}

// sendUnreadable sends heartbeats whose id holds a byte that can't be read, at the usual
// pace and to any control process, as all callers pick among these.
func (r *run) sendUnreadable(stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for i := 0; ; i++ {
		body, err := json.Marshal(object{
			"service": "order-desk", "address": r.addr(9, appPort), "zone": "gw-a", "version": "v1", "slots": 6, "state": "ready",
			"coldRemainingMs": 0, "stage": "both", "models": []any{}, "seq": i + 1, "born": born,
		})
		if err != nil {
			return
		}
		status := call(http.MethodPut, r.controls()[i%3], "/instances/i-%ff", body)
		r.log("other writer: PUT /instances/i-%%ff %s, status %d", body, status)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}
