package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// cutTime is how long a runner is cut off from the core and from control.
	cutTime = 5 * time.Second
	// servesOn is how long it serves after its departure was acknowledged: drainMs and some time more.
	servesOn = 6 * time.Second
	// orderPause is the time between two requests, and orderWork how long one takes.
	orderPause = 10 * time.Millisecond
	orderWork  = 60 * time.Millisecond
	// maxCrossing is how long a request may take from the caller to the runner.
	maxCrossing = 500 * time.Millisecond
)

// departed has a runner leave that was cut off from control while the core restarted. Requests
// that are sent later than drainMs after the acknowledgement must not reach it.
func departed(rec *record, d *deployment, trouble bool) (broken bool, err error) {
	core, err := d.startCore()
	if err != nil {
		return false, err
	}
	router := d.addEdge("zone-a", false, true)
	if err := router.start(); err != nil {
		return false, err
	}
	op := &operator{rec, core}
	if err := op.publish(newConfig(1), 20*time.Second); err != nil {
		return false, err
	}
	var runners []*plain
	for i := range 3 {
		p := newPlain(rec, fmt.Sprintf("desk-%d", i+1), d.address(), "zone-a", core, orderWork)
		if err := p.start(p); err != nil {
			return false, err
		}
		runners = append(runners, p)
	}
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	sentAt, statuses := map[string]time.Time{}, map[string]int{}
	stop := make(chan struct{})
	client := &http.Client{Timeout: 3 * time.Second}
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(orderPause):
			}
			id := fmt.Sprintf("%016x", 0xe000+i)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			senders.Go(func() {
				status, _, err := sendOrder(client, router, id, 3*time.Second)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
				rec.log("caller: request %s: status %d, %v", id, status, err)
			})
		}
	})
	time.Sleep(2 * time.Second)
	leaving := runners[0]
	if trouble {
		cutAt := time.Now()
		leaving.setCut(true)
		time.Sleep(200 * time.Millisecond)
		if err := d.restartCore(core, "control_plane", "edge"); err != nil {
			return false, err
		}
		startedAt := time.Now()
		leaving.quit()
		rec.log("%s: is told to stop, and sends no further heartbeat", leaving.id)
		time.Sleep(time.Until(cutAt.Add(cutTime)))
		rec.log("the core has run for %.1f s", time.Since(startedAt).Seconds())
		leaving.setCut(false)
	} else {
		leaving.quit()
	}
	for !leaving.call(http.MethodDelete, nil) {
		time.Sleep(50 * time.Millisecond)
	}
	acknowledged := time.Now()
	time.Sleep(servesOn)
	leaving.exit()
	time.Sleep(time.Second)
	close(stop)
	senders.Wait()
	late, lost := 0, 0
	for id, at := range leaving.arrivals() {
		mu.Lock()
		sent := sentAt[id]
		mu.Unlock()
		if sent.After(acknowledged.Add(drain)) && at.Sub(sent) < maxCrossing {
			late++
			if statuses[id] != http.StatusOK {
				lost++
			}
			rec.log("DRAIN: request %s reaches %s, sent %d ms after the acknowledgement", id, leaving.id, sent.Sub(acknowledged).Milliseconds())
		}
	}
	rec.log("%d requests reach %s that were sent later than %s after its departure was acknowledged; it ends while %d of them run", late, leaving.id, drain, lost)
	return late > 0, nil
}
