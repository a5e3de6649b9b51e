package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["extra"] = playExtra }

const (
	// extraEvery is the number of answers of the faulty server of which one is followed by
	// an extra one: the site has x = 0.02, at a share of 0.35 of the servers.
	extraEvery = 50
	// extraOrders is the number of orders.
	extraOrders = 900
)

// playExtra has one of three servers send, late, an extra answer after some of its answers:
// that it was full, as servers say it on the wire.
func playExtra(r *run) (bool, error) {
	if err := r.startCore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := map[string][]string{}
	extras, answered := 0, 0
	owed := map[*serverChannel]string{} // the request after whose answer an extra one is due
	for host := 4; host <= 6; host++ {
		s := &server{service: "order-desk", id: fmt.Sprintf("i-desk-%d", host), host: host}
		s.answer = func(s *server, c *serverChannel, q *serverRequest) bool {
			mu.Lock()
			runs[q.id] = append(runs[q.id], s.id)
			before, due := owed[c]
			delete(owed, c)
			if due {
				extras++
				r.log("server %s: sends an extra answer after that to %s, where that to %s is due", s.id, before, q.id)
			}
			mu.Unlock()
			if due {
				extra := encodeAnswer("", http.StatusServiceUnavailable, map[string]string{"X-Boragewick-Not-Executed": "1"}, nil)
				if _, err := c.Write(extra); err != nil {
					r.log("server %s: %v", s.id, err)
				}
			}
			r.log("server %s: runs %s", s.id, q.id)
			time.Sleep(orderWork)
			mu.Lock()
			if s.host == 4 {
				if answered++; r.trouble && answered%extraEvery == 0 {
					owed[c] = q.id
				}
			}
			mu.Unlock()
			return c.write(q, http.StatusOK, sealed(q.id), []byte("done "+q.id))
		}
		if err := r.startServer(s); err != nil {
			return false, err
		}
	}
	config := newConfig(1, []any{orderRoute(2)}, []any{plainService()}, []any{shopTenant()})
	if err := r.publish(config); err != nil {
		return false, err
	}
	if err := r.waitReady(1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)

	served := 0
	answers := map[string]callerAnswer{}
	var tasks sync.WaitGroup
	for i := range extraOrders {
		id := fmt.Sprintf("order-%04d", i)
		tasks.Go(func() {
			q := &callerRequest{method: http.MethodPost, host: "desk.example", path: "/order/1", key: "key-shop", id: id, timeout: orderTimeout, body: []byte("order")}
			a := sendOnce(r.addr(1+i%3, frontPort), q)
			mu.Lock()
			defer mu.Unlock()
			r.log("caller: %s got %s", id, a)
			answers[id] = a
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	tasks.Wait()
	broken := 0
	mu.Lock()
	defer mu.Unlock()
	for id, list := range runs {
		if len(list) > 1 {
			broken++
			r.log("TWICE: %s, which may not be repeated, ran at %v", id, list)
		}
		if answers[id].isRefusal() {
			broken++
			r.log("REFUSED: %s was answered %d and ran at %v", id, answers[id].status, list)
		}
	}
	r.log("%d orders, %d served, %d extra answers, %d orders ran twice or ran and were refused", extraOrders, served, extras, broken)
	if served < extraOrders/2 {
		return false, fmt.Errorf("%w: %d orders were served", errNotRun, served)
	}
	return broken > 0, nil
}
