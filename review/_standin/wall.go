package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["wall"] = playWall }

// applyTime is longer than configApplyMs and contactMs of the settings together.
const applyTime = 6 * time.Second

// playWall has one tenant read a prompt, makes this tenant dedicated by a new
// configuration, and has another tenant send the same prompt.
func playWall(r *run) (bool, error) {
	if err := r.startCore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	dedicated := map[string]bool{} // as acknowledged longer ago than applyTime
	broken, hits := 0, 0
	for host := 4; host <= 6; host++ {
		cache := &engineCache{}
		s := newEngine(host, func(s *server, c *serverChannel, q *serverRequest) bool {
			tenant := q.Header.Get("X-Boragewick-Tenant")
			used, ids := cache.use(q)
			mu.Lock()
			r.log("server %s: runs %s of %s, salt %q, prompt %s", s.id, q.id, tenant, q.Header.Get("X-Boragewick-Cache-Salt"), q.Header.Get("X-Boragewick-Prompt-Prefix"))
			for i, part := range used {
				hits++
				if part.tenant != tenant && (dedicated[part.tenant] || dedicated[tenant]) {
					broken++
					r.log("WALL: %s of %s uses part %s, which %s of %s made", q.id, tenant, ids[i], part.request, part.tenant)
				}
			}
			mu.Unlock()
			return c.stream(q)
		})
		if err := r.startServer(s); err != nil {
			return false, err
		}
		if err := r.add("agent", host); err != nil {
			return false, err
		}
	}
	config := func(version int, isolated bool) object {
		tenants := []any{
			object{"name": "north", "apiKeys": []any{"key-north"}, "priority": 1, "unit": "token_metering", "plainTokens": 200, "dedicated": isolated, "ratePerS": 160315, "burst": 160315},
			object{"name": "south", "apiKeys": []any{"key-south"}, "priority": 1, "unit": "token_metering", "plainTokens": 200, "dedicated": false, "ratePerS": 160315, "burst": 160315},
		}
		return newConfig(version, []any{streamRoute(5 * time.Second)}, []any{modelService("llm-pool", modelName)}, tenants)
	}
	if err := r.publish(config(1, false)); err != nil {
		return false, err
	}
	if err := r.waitReady(1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	served := 0
	send := func(round, tenant string) {
		for i := range 6 {
			id := fmt.Sprintf("%s-%s-%d", round, tenant, i)
			// The parts are a contract's wording that all tenants have; the last is the request's own.
			a := sendOnce(r.addr(1+i%3, frontPort), streamRequest(id, "key-"+tenant, fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", 7919*(i+1)*len(id)), 5*time.Second))
			r.log("caller: %s got %s", id, a)
			if a.status == 200 && a.err == nil {
				served++
			}
		}
	}
	send("before", "north")
	if err := r.publish(config(2, r.trouble)); err != nil {
		return false, err
	}
	time.Sleep(applyTime)
	mu.Lock()
	dedicated["north"] = r.trouble
	mu.Unlock()
	send("after", "south")
	r.log("%d requests served, %d parts used from caches, %d of them across the wall", served, hits, broken)
	if served < 10 {
		return false, fmt.Errorf("%w: %d requests were served", errNotRun, served)
	}
	return broken > 0, nil
}
