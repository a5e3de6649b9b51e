package slopes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/agents"
	"github.com/boragewick/boragewick/burn"
	"github.com/boragewick/boragewick/caller"
	"github.com/boragewick/boragewick/endpointhttp"
	"github.com/boragewick/boragewick/engine"
	"github.com/boragewick/boragewick/trace"
	"github.com/boragewick/boragewick/view"
	"github.com/boragewick/boragewick/ws"
)

// maxBodyBytes bounds the bodies of the measured requests.
const maxBodyBytes = 1 << 20

// endToEndTime returns the processor time that size concurrent answers take, from
// the engine to the callers on the loopback.
func endToEndTime(ctx context.Context, size int) (float64, error) {
	eng, err := listen(ctx, http.HandlerFunc(serveEvents))
	if err != nil {
		return 0, err
	}
	defer func() { _ = eng.Close() }()
	a := newAgent(0, 0)
	a.Engine = &engine.Client{Caller: endpointhttp.Caller{Endpoint: eng.addr}}
	addr, stop, err := listenLinks(ctx, a.Handle)
	if err != nil {
		return 0, err
	}
	defer stop()
	e := endpoint(0)
	e.Agent = addr
	p := &agents.Pool{Dialer: &ws.Transport{}}
	defer closeLink(p, &e)
	front, err := newCaller(p, &e)
	if err != nil {
		return 0, err
	}
	router, err := listen(ctx, front)
	if err != nil {
		return 0, err
	}
	defer func() { _ = router.Close() }()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	return processorTime(func() error {
		return runConcurrently(size, func() error { return requestCompletion(ctx, client, "http://"+router.addr.String()) })
	})
}

// runConcurrently runs n concurrent calls of f and returns their combined errors.
func runConcurrently(n int, f func() error) error {
	failed := make(chan error, n)
	for range n {
		go func() { failed <- f() }()
	}
	var err error
	for range n {
		err = errors.CombineErrors(err, <-failed)
	}
	return err
}

// newCaller returns a router's HTTP handler that sends all requests to the
// endpoint.
func newCaller(p *agents.Pool, e *boragewick.Endpoint) (*caller.Handler, error) {
	v := &view.View{Clock: boragewick.SystemClock}
	route := boragewick.Object{
		ID: "route_0000000000000001", Kind: boragewick.KindRoute, Names: boragewick.Names{Path: "/routes/one"},
		Route: &boragewick.Route{Model: model(0).Name, Pool: e.Pool, Weights: model(0).Weights, Repeatable: true, Open: true},
	}
	u := boragewick.Update{Snapshot: true, Revision: boragewick.Revision{Term: 1, Index: 1}, Objects: []boragewick.Object{route}}
	return &caller.Handler{
		View: v,
		Dispatcher: boragewick.DispatcherFunc(func(ctx context.Context, r *boragewick.Request, emit boragewick.Emit) error {
			return p.Send(ctx, e, r, emit)
		}),
		Watcher:           &burn.Meter{},
		Traces:            &trace.Ring{},
		Metrics:           metrics.NewRegistry(),
		Clock:             boragewick.SystemClock,
		Logger:            log.NewNopLogger(),
		MaxBodyBytes:      maxBodyBytes,
		FirstTokenTimeout: time.Minute,
	}, v.Apply(u)
}

// requestCompletion requests a completion from a router and checks its number of
// events.
func requestCompletion(ctx context.Context, client *http.Client, url string) error {
	body := `{"model":"model-0","prompt":"borage","stream":true,"max_tokens":30}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	w, err := client.Do(r)
	if err != nil {
		return err
	}
	got, err := io.ReadAll(w.Body)
	err = errors.CombineErrors(err, w.Body.Close())
	if n := bytes.Count(got, []byte("\n\n")); err == nil && n != pacedTokens+1 {
		return errors.Newf("status %d with %d events, want %d: %.300s", w.StatusCode, n, pacedTokens+1, got)
	}
	return err
}

// serveEvents streams an answer like an engine, one token per tokenInterval.
func serveEvents(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(endpointhttp.HeaderRequestID)
	w.Header().Set(endpointhttp.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	filler := strings.Repeat("x", eventBytes-len(id)-100)
	ticker := time.NewTicker(tokenInterval)
	defer ticker.Stop()
	flush := http.NewResponseController(w).Flush
	for n := range pacedTokens {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":%q}]}\n\n", n+1, id, filler)
		_ = flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
