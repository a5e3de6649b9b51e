package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	modelName = "daka510000"
	// prefill is how long an engine works before the first event, and eventGap the time
	// between two events.
	prefill  = 20 * time.Millisecond
	eventGap = 10 * time.Millisecond
	events   = 10
)

// cachedPart is a part of a prompt in an engine's cache.
type cachedPart struct{ request, tenant string }

// engineCache is the cache of one engine.
type engineCache struct {
	mu    sync.Mutex
	parts map[string]cachedPart
}

// use returns the parts of the request's prompt that the engine has cached, and caches the
// others. A part is found only if all parts before it are.
func (e *engineCache) use(q *serverRequest) (used []cachedPart, ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.parts == nil {
		e.parts = map[string]cachedPart{}
	}
	salt, path, hit := q.Header.Get("X-Boragewick-Cache-Salt"), "", true
	for field := range strings.SplitSeq(q.Header.Get("X-Boragewick-Prompt-Prefix"), ",") {
		id, _, ok := strings.Cut(strings.TrimSpace(field), ":")
		if !ok {
			continue
		}
		path += "/" + id
		key := salt + path
		part, known := e.parts[key]
		if hit = hit && known; hit {
			used, ids = append(used, part), append(ids, id)
			continue
		}
		e.parts[key] = cachedPart{q.id, q.Header.Get("X-Boragewick-Tenant")}
	}
	return used, ids
}

// newEngine returns a server of the service llm-pool.
func newEngine(host int, answer func(s *server, c *serverChannel, q *serverRequest) bool) *server {
	return &server{
		service: "llm-pool", id: fmt.Sprintf("i-llm-%d", host), host: host, slots: 64, answer: answer,
		models: []any{object{"name": modelName, "version": 1, "adapters": []any{}}},
	}
}

// beginStream writes the head of a stream in chunks.
func (c *serverChannel) beginStream(q *serverRequest) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d OK\r\nX-Boragewick-Request-Id: %s\r\nX-Boragewick-Response-Seal: seal-%s\r\n"+
		"X-Boragewick-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", http.StatusOK, q.id, q.id)
	return err == nil
}

// writeChunk writes one chunk; an empty one ends the stream.
func (c *serverChannel) writeChunk(text string) bool {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// stream answers with all events.
func (c *serverChannel) stream(q *serverRequest) bool {
	time.Sleep(prefill)
	if !c.beginStream(q) {
		return false
	}
	for i := 1; i <= events; i++ {
		if !c.writeChunk(fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, q.id, i)) {
			return false
		}
		time.Sleep(eventGap)
	}
	return c.writeChunk("")
}

// streamRoute returns the route of the model's streams.
func streamRoute(timeout time.Duration) object {
	return object{
		"name": "r-tag", "host": "tag.example", "pathPrefix": "/tag/", "kind": "streaming", "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": 500, "targetGapMs": 400, "priority": 1, "service": "llm-pool", "maxAttempts": 2, "allowAnonymous": false,
		"sessionAffinity": true, "resumable": true,
	}
}

// streamRequest returns a request for a stream on the prompt.
func streamRequest(id, key, prompt string, timeout time.Duration) *callerRequest {
	return &callerRequest{
		method: http.MethodPost, host: "tag.example", path: "/tag/1", id: id, key: key, timeout: timeout, body: []byte("tag " + id),
		header: map[string]string{
			"X-Boragewick-Model": modelName, "X-Boragewick-Token-Count": "1460,80", "X-Boragewick-Prompt-Prefix": prompt,
		},
	}
}
