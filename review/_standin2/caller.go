package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream is what a caller got of a stream.
type stream struct {
	id     string
	status int
	// events are the ids of its events.
	events []int
	// complete reports whether the response ended as a whole one.
	complete bool
	err      error
}

// last returns the id of the last event.
func (s *stream) last() int {
	if len(s.events) == 0 {
		return 0
	}
	return s.events[len(s.events)-1]
}

// newStreamRequest returns a request for a stream.
func newStreamRequest(m *machine, id string, budget time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.front()+"/chat/1", strings.NewReader("a prompt"))
	if err != nil {
		return nil, err
	}
	req.Host = "app.example"
	h := req.Header
	h.Set("X-Boragewick-Request-Id", id)
	h.Set("X-Boragewick-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	h.Set("X-Boragewick-Model", model)
	h.Set("X-Boragewick-Token-Count", fmt.Sprintf("%d,%d", promptTokens, streamEvents))
	h.Set("X-Boragewick-Prompt-Prefix", fmt.Sprintf("5c1e07a2:6300,%s:2890", id))
	return req, nil
}

// readStream sends the request and reads its stream to the end.
func readStream(rec *record, req *http.Request) *stream {
	s := &stream{id: req.Header.Get("X-Boragewick-Request-Id")}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.err = err
		rec.log("caller: request %s: %v", s.id, err)
		return s
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if n, err := strconv.Atoi(strings.TrimSpace(text)); err == nil {
				s.events = append(s.events, n)
			}
		}
		if err != nil {
			s.complete = err == io.EOF
			s.err = err
			break
		}
	}
	rec.log("caller: request %s: status %d, %d events, the last %d, complete: %t", s.id, s.status, len(s.events), s.last(), s.complete)
	return s
}
