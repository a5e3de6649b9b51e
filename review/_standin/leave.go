package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leave"] = playLeave }

const (
	// leaveAfter is how long after its request a caller leaves. The kinds allow half of the
	// objective, which is 300 ms.
	leaveAfter = 20 * time.Millisecond
	// orders is the number of orders, and leaveEvery the number of which one leaves: the
	// site has share = 0.2.
	orders     = 100
	leaveEvery = 5
)

// playLeave sends orders of which some callers leave before the answer. They end their
// side of the channel, read what still comes and close it.
func playLeave(r *run) (bool, error) {
	if err := r.startCore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	finished := map[string]bool{}
	for host := 4; host <= 6; host++ {
		s := &server{service: "order-desk", id: fmt.Sprintf("i-desk-%d", host), host: host}
		s.answer = func(s *server, c *serverChannel, q *serverRequest) bool {
			r.log("server %s: runs %s", s.id, q.id)
			gone := make(chan struct{})
			go func() {
				_, _ = c.r.Peek(1) // the system sends nothing on the channel before the answer
				close(gone)
			}()
			select {
			case <-time.After(orderWork):
			case <-gone:
				r.log("server %s: drops %s, as its channel is closed", s.id, q.id)
				return false
			}
			mu.Lock()
			finished[q.id] = true
			mu.Unlock()
			header := sealed(q.id)
			header["Connection"] = "close"
			c.write(q, http.StatusOK, header, []byte("done "+q.id))
			return false
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

	broken := 0
	served := 0
	var tasks sync.WaitGroup
	for i := range orders {
		id := fmt.Sprintf("order-%03d", i)
		leaves := r.trouble && i%leaveEvery == 0
		tasks.Go(func() {
			a := sendAndLeave(r, r.addr(1+i%3, frontPort), id, leaves)
			mu.Lock()
			defer mu.Unlock()
			r.log("caller: %s got %s; a server finished it: %t", id, a, finished[id])
			if a.status/100 != 2 {
				return
			}
			if a.err == nil && a.header.Get("X-Boragewick-Response-Seal") == "seal-"+id && string(a.body) == "done "+id {
				served++
				return
			}
			broken++
			r.log("MIXED: %s got a success without the server's seal", id)
		})
		time.Sleep(30 * time.Millisecond)
	}
	tasks.Wait()
	r.log("%d orders, %d served, %d successes that no server made", orders, served, broken)
	if served < orders/2 {
		return false, fmt.Errorf("%w: only %d orders were served", errNotRun, served)
	}
	return broken > 0, nil
}

// sendAndLeave sends an order and reads what comes. A caller that leaves ends its side of
// the channel after leaveAfter.
func sendAndLeave(r *run, addr, id string, leaves bool) callerAnswer {
	begun := time.Now()
	raw, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer raw.Close()
	_ = raw.SetDeadline(begun.Add(orderTimeout))
	var b bytes.Buffer
	body := "order " + id
	fmt.Fprintf(&b, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nX-Boragewick-Request-Id: %s\r\nX-Boragewick-Deadline-Ms: %d\r\n"+
		"Authorization: Token key-shop\r\nContent-Length: %d\r\n\r\n%s", id, orderTimeout.Milliseconds(), len(body), body)
	r.log("caller: sends %s", id)
	if _, err := raw.Write(b.Bytes()); err != nil {
		return callerAnswer{err: err}
	}
	if leaves {
		time.AfterFunc(leaveAfter, func() {
			r.log("caller: leaves %s", id)
			_ = raw.(*net.TCPConn).CloseWrite()
		})
	}
	resp, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil {
		return callerAnswer{err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return callerAnswer{status: resp.StatusCode, header: resp.Header, body: got, err: err, took: time.Since(begun)}
}
