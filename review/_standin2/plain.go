package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// plain is a stand-in of a back end of the plain service.
type plain struct {
	*runner
	mu sync.Mutex
	// work is how long a request takes.
	work time.Duration
	// ran holds when each request arrived.
	ran map[string]time.Time
}

func newPlain(rec *record, id, ip, zone string, nodes []*machine, work time.Duration) *plain {
	return &plain{runner: newRunner(rec, id, plainService, ip, zone, nodes), work: work, ran: map[string]time.Time{}}
}

func (p *plain) setWork(work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = work
}

// ServeHTTP implements http.Handler.
func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Boragewick-Request-Id")
	if want := r.Header.Get("X-Boragewick-Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("X-Boragewick-Not-Executed", "1")
		w.Header().Set("X-Boragewick-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Boragewick-Instance-Id", p.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	p.mu.Lock()
	work := p.work
	p.ran[id] = time.Now()
	p.mu.Unlock()
	p.rec.log("%s: runs request %s", p.id, id)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		p.rec.log("%s: the connection of request %s is closed while it runs", p.id, id)
		return
	}
	w.Header().Set("X-Boragewick-Request-Id", id)
	w.Header().Set("X-Boragewick-Response-Seal", p.id+"."+id)
	_, _ = w.Write([]byte("done " + id))
	p.rec.log("%s: answers request %s after %d ms", p.id, id, work.Milliseconds())
}

// arrivals returns when each request arrived.
func (p *plain) arrivals() map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]time.Time{}
	for id, at := range p.ran {
		all[id] = at
	}
	return all
}

// sendOrder sends a request of the plain service and returns the status and the body.
func sendOrder(client *http.Client, m *machine, id string, budget time.Duration) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.front()+"/order/1", strings.NewReader("an order"))
	if err != nil {
		return 0, "", err
	}
	req.Host = "app.example"
	req.GetBody = nil // the client must not send it again
	req.Header.Set("X-Boragewick-Request-Id", id)
	req.Header.Set("X-Boragewick-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, "", fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, string(b), nil
}
