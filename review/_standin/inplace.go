package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["inplace"] = playInPlace }

const (
	// downFor is how long a crashed engine is down, as on days of the site, and crashGap how
	// long after it is back the next one crashes.
	downFor  = time.Second
	crashGap = 500 * time.Millisecond
	// lateFirstBeat is how late the first heartbeat of a server arrives.
	lateFirstBeat = 1500 * time.Millisecond
	// pieces and pieceGap make a stream.
	pieces   = 30
	pieceGap = 60 * time.Millisecond
	// streamEvery is the time between two streams.
	streamEvery = 20 * time.Millisecond
)

// playInPlace restarts the engines of a service in turn, each under the id that it had, with
// another version of their software.
func playInPlace(r *run) (bool, error) {
	if err := r.startCore(); err != nil {
		return false, err
	}
	newSoftware := "v1"
	if r.trouble {
		newSoftware = "v2"
	}
	answer := func(s *server, c *serverChannel, q *serverRequest) bool {
		from := 0
		_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &from)
		r.log("server %s (%s): runs %s from event %d", s.id, s.software, q.id, from+1)
		time.Sleep(prefill)
		if !c.beginStream(q) {
			return false
		}
		for i := from + 1; i <= pieces; i++ {
			if !c.writeChunk(fmt.Sprintf("id: %d\ndata: %s by %s of %s\n\n", i, q.id, s.id, s.software)) {
				return false
			}
			time.Sleep(pieceGap)
		}
		return c.writeChunk("")
	}
	engines := map[int]*server{}
	for host := 4; host <= 7; host++ {
		s := newEngine(host, answer)
		if err := r.startServer(s); err != nil {
			return false, err
		}
		if err := r.add("agent", host); err != nil {
			return false, err
		}
		engines[host] = s
	}
	if err := r.publish(newConfig(1, []any{streamRoute(5 * time.Second)}, []any{modelService("llm-pool", modelName)}, []any{shopTenant()})); err != nil {
		return false, err
	}
	if err := r.waitReady(1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(3 * heartbeat)

	var mu sync.Mutex
	whole, broken := 0, 0
	var tasks sync.WaitGroup
	stop := make(chan struct{})
	tasks.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(streamEvery):
			}
			tasks.Go(func() {
				text, complete := r.takeStream(i)
				mu.Lock()
				defer mu.Unlock()
				if complete {
					whole++
				}
				if strings.Contains(text, "of v1\n") && strings.Contains(text, "of v2\n") {
					broken++
					r.log("ORDER: stream s%04d holds events of two software versions", i)
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	for host := 4; host <= 7; host++ {
		engines[host].crash()
		time.Sleep(downFor)
		s := newEngine(host, answer)
		s.software, s.firstBeat = newSoftware, lateFirstBeat
		if err := r.startServer(s); err != nil {
			return false, err
		}
		r.log("server %s: has crashed and is back with software %s; its first heartbeat arrives %s later", s.id, s.software, lateFirstBeat)
		engines[host] = s
		time.Sleep(crashGap)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	tasks.Wait()
	r.log("%d streams came whole, %d hold events of two software versions", whole, broken)
	if whole < 50 {
		return false, fmt.Errorf("%w: %d streams came whole", errNotRun, whole)
	}
	return broken > 2, nil
}

// takeStream requests a stream and, if that breaks off, takes it up once at another router,
// as callers have one retry. It returns the events and whether all came.
func (r *run) takeStream(n int) (text string, complete bool) {
	first := fmt.Sprintf("s%04d", n)
	for try := range 2 {
		q := streamRequest(first, "key-shop", fmt.Sprintf("%08x:800,%08x:250", 7907*(n+1), 104729*(n+1)), 5*time.Second)
		if try > 0 {
			q.id = first + "-again"
			q.header["Resumes"] = first
			q.header["Last-Event-Id"] = fmt.Sprint(strings.Count(text, "id: "))
		}
		a := sendOnce(r.addr(1+(n+try)%3, frontPort), q)
		r.log("caller: %s got %s", q.id, a)
		if a.status/100 != 2 {
			return text, false
		}
		if end := strings.LastIndex(string(a.body), "\n\n"); end >= 0 {
			text += string(a.body[:end+2])
		}
		if a.err == nil {
			return text, true
		}
		if text == "" {
			return text, false // there is no event to go on from
		}
	}
	return text, false
}
