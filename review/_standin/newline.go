package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["newline"] = playNewline }

// newlineOrders is the number of orders.
const newlineOrders = 300

// playNewline has another writer send heartbeats for a server, whose id ends with a
// newline.
func playNewline(r *run) (bool, error) {
	if err := r.startCore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	broken := 0
	for host := 4; host <= 6; host++ {
		s := &server{service: "order-desk", id: fmt.Sprintf("i-desk-%d", host), host: host}
		s.answer = func(s *server, c *serverChannel, q *serverRequest) bool {
			if q.id == "" {
				r.log("server %s: refuses %s %s without an id", s.id, q.Method, q.URL)
				return c.write(q, http.StatusBadRequest, map[string]string{"X-Boragewick-Not-Executed": "1"}, nil)
			}
			mu.Lock()
			if want := "order " + q.id; string(q.body) != want {
				broken++
				r.log("UNASKED: server %s runs %s with the body %q in place of %q", s.id, q.id, q.body, want)
			}
			mu.Unlock()
			r.log("server %s: runs %s", s.id, q.id)
			time.Sleep(20 * time.Millisecond)
			return c.write(q, http.StatusOK, sealed(q.id), []byte("done "+q.id))
		}
		if err := r.startServer(s); err != nil {
			return false, err
		}
	}
	if err := r.publish(newConfig(1, []any{orderRoute(2)}, []any{plainService()}, []any{shopTenant()})); err != nil {
		return false, err
	}
	if err := r.waitReady(1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	if r.trouble {
		stop := make(chan struct{})
		defer close(stop)
		go r.sendNewline(stop)
	}
	served := 0
	var tasks sync.WaitGroup
	for i := range newlineOrders {
		id := fmt.Sprintf("order-%03d", i)
		tasks.Go(func() {
			q := &callerRequest{method: http.MethodPost, host: "desk.example", path: "/order/1", key: "key-shop", id: id, timeout: orderTimeout, body: []byte("order " + id)}
			a := sendOnce(r.addr(1+i%3, frontPort), q)
			mu.Lock()
			defer mu.Unlock()
			r.log("caller: %s got %s", id, a)
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	tasks.Wait()
	r.log("%d orders, %d served, %d ran with another body", newlineOrders, served, broken)
	if served < newlineOrders/3 {
		return false, fmt.Errorf("%w: %d orders were served", errNotRun, served)
	}
	return broken > 0, nil
}

// sendNewline sends heartbeats for the server on host 4 with a newline after its id.
func (r *run) sendNewline(stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for i := 0; ; i++ {
		body, err := json.Marshal(object{
			"service": "order-desk", "address": r.addr(4, appPort), "zone": r.zone(4), "version": "v1", "slots": 6, "state": "ready",
			"coldRemainingMs": 0, "stage": "both", "models": []any{}, "seq": i + 1, "born": born,
		})
		if err != nil {
			return
		}
		status := call(http.MethodPut, r.controls()[i%3], "/instances/i-desk-4%0a", body)
		r.log("other writer: PUT /instances/i-desk-4%%0a %s, status %d", body, status)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}
