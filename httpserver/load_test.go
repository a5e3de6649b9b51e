package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// TestDrainUnderLoad answers the pattern of a planned stop under load, with requests
// that have just been accepted when the server stops: each request that a handler has
// started on gets its whole answer.
func TestDrainUnderLoad(t *testing.T) {
	t.Run("callers that may read slowly", func(t *testing.T) { drainUnderLoad(t, 0) })
	t.Run("callers that must read", func(t *testing.T) { drainUnderLoad(t, time.Minute) })
}

func drainUnderLoad(t *testing.T, unreadTimeout time.Duration) {
	const clients = 24
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	started := map[string]bool{}
	s := &Server{
		Listener:      l,
		LingerTime:    150 * time.Millisecond,
		DrainTimeout:  5 * time.Second,
		UnreadTimeout: unreadTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Id")
			mu.Lock()
			started[id] = true
			n := len(started)
			mu.Unlock()
			time.Sleep(time.Duration(n%40) * time.Millisecond)
			_, _ = io.WriteString(w, id)
		}),
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()

	answered := map[string]bool{}
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				id := strconv.Itoa(c) + "-" + strconv.Itoa(i)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), nil)
				if err != nil {
					t.Error(err)
					return
				}
				req.Header.Set("Id", id)
				resp, err := client.Do(req)
				if err != nil {
					return // the server has stopped
				}
				b, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil && string(b) == id {
					mu.Lock()
					answered[id] = true
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	wg.Wait()
	for id := range started {
		if !answered[id] {
			t.Errorf("request %s was accepted and not answered", id)
		}
	}
	if len(started) < clients {
		t.Errorf("only %d requests", len(started))
	}
}
