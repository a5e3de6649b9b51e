package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["gone"] = playGone }

const (
	drainTime   = 2 * time.Second // drainMs of the settings
	contactTime = 3 * time.Second // contactMs of the settings
	// beatDelay is how late one heartbeat arrives.
	beatDelay = 3 * time.Second
	// lingers is how long the server that leaves serves after its departure was
	// acknowledged.
	lingers = 9 * time.Second
)

// playGone has a server deregister, kills all processes of the core at the same moment,
// and delivers a heartbeat late that the server sent before it left.
func playGone(r *run) (bool, error) {
	if err := r.startCore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var goneAt, inTouchAt time.Time // when the departure was acknowledged, and the machines are in touch again
	broken, late, reached := 0, 0, 0
	var leaver *server
	for host := 4; host <= 6; host++ {
		s := &server{service: "order-desk", id: fmt.Sprintf("i-desk-%d", host), host: host}
		s.answer = func(s *server, c *serverChannel, q *serverRequest) bool {
			if s == leaver {
				mu.Lock()
				reached++
				now := time.Now()
				if !goneAt.IsZero() && now.After(goneAt.Add(drainTime)) {
					late++
					r.log("server %s: %s arrives %d ms after the departure was acknowledged", s.id, q.id, now.Sub(goneAt).Milliseconds())
					if !inTouchAt.IsZero() && now.After(inTouchAt.Add(100*time.Millisecond)) {
						broken++
						r.log("DRAIN: %s was sent on by a machine in touch", q.id)
					}
				}
				mu.Unlock()
			}
			time.Sleep(20 * time.Millisecond)
			return c.write(q, http.StatusOK, sealed(q.id), []byte("done "+q.id))
		}
		if host == 4 {
			leaver = s
		}
		if err := r.startServer(s); err != nil {
			return false, err
		}
	}
	route := object{
		"name": "r-stock", "host": "desk.example", "pathPrefix": "/stock/", "kind": "safe", "timeoutMs": 3000, "targetLatencyMs": 300,
		"priority": 2, "service": "order-desk", "maxAttempts": 2, "allowAnonymous": false,
	}
	if err := r.publish(newConfig(1, []any{route}, []any{plainService()}, []any{shopTenant()})); err != nil {
		return false, err
	}
	if err := r.waitReady(1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(contactTime + heartbeat)

	stop := make(chan struct{})
	var tasks sync.WaitGroup
	served := 0
	for router := 1; router <= 3; router++ {
		tasks.Go(func() {
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				q := &callerRequest{method: http.MethodGet, host: "desk.example", path: "/stock/1", key: "key-shop", id: fmt.Sprintf("r%d-%04d", router, i), timeout: 3 * time.Second}
				if a := sendOnce(r.addr(router, frontPort), q); a.status == http.StatusOK && a.err == nil {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(2 * time.Second)

	leaver.mu.Lock()
	leaver.silent = true
	leaver.mu.Unlock()
	path, body := leaver.beat()
	r.log("server %s: sends its last heartbeat %s, which is %s on its way", leaver.id, body, beatDelay)
	tasks.Go(func() {
		time.Sleep(beatDelay)
		for i := range 30 {
			status := call(http.MethodPut, r.controls()[i%3], path, body)
			r.log("server %s: the late heartbeat arrives, status %d", leaver.id, status)
			if status/100 == 2 {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	if err := r.callAny(http.MethodDelete, path, nil, 5*time.Second); err != nil {
		return false, err
	}
	mu.Lock()
	goneAt = time.Now()
	mu.Unlock()
	r.log("server %s: its departure is acknowledged", leaver.id)
	mu.Lock()
	inTouchAt = goneAt
	mu.Unlock()
	if r.trouble {
		mu.Lock()
		inTouchAt = time.Time{}
		mu.Unlock()
		if err := r.killCore(500 * time.Millisecond); err != nil {
			return false, err
		}
		mu.Lock()
		inTouchAt = time.Now().Add(contactTime)
		mu.Unlock()
	}
	time.Sleep(time.Until(goneAt.Add(lingers)))
	close(stop)
	tasks.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.log("%d requests served, %d reached the server that left, %d of them later than drainMs, %d of these from machines in touch", served, reached, late, broken)
	if served < 100 {
		return false, fmt.Errorf("%w: %d requests were served", errNotRun, served)
	}
	return broken > 0, nil
}

// killCore kills all processes of the core at the same moment and starts them again after
// the time.
func (d *deployment) killCore(down time.Duration) error {
	d.rec.log("platform: all processes of the core are killed")
	var tasks sync.WaitGroup
	for _, p := range d.procs {
		if p.host <= 3 {
			tasks.Go(p.kill)
		}
	}
	tasks.Wait()
	time.Sleep(down)
	for _, p := range d.procs {
		if p.host <= 3 {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	d.rec.log("platform: the processes of the core are started again")
	return nil
}
