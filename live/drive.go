package live

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/workload"
)

// callTimeout bounds one request of the driver.
const callTimeout = time.Minute

// drive sends each request at its time and waits for all answers.
func (s *system) drive(ctx context.Context, requests []workload.Request, length time.Duration, c *collector) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	start := time.Now()
	var wg sync.WaitGroup
	for n := range requests {
		r := &requests[n]
		at := r.At.Sub(workload.Start)
		if at >= length || !sleepUntil(ctx, start.Add(at)) {
			break
		}
		wg.Go(func() { c.add(s.call(ctx, client, r, s.routers[n%len(s.routers)].caller)) })
	}
	wg.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// call sends one request and reads its stream to the end. A balancer would
// keep callers away from a router that is down, so a refused connection is
// tried again.
func (s *system) call(ctx context.Context, client *http.Client, q *workload.Request, base string) sample {
	got := sample{workspace: q.Workspace, failed: true}
	start := time.Now()
	w, err := s.post(ctx, client, q, base)
	for tries := 0; err != nil && tries < 100 && ctx.Err() == nil; tries++ {
		time.Sleep(10 * time.Millisecond)
		w, err = s.post(ctx, client, q, base)
	}
	if err != nil {
		return got
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		got.refused = w.Header.Get(boragewick.OutcomeHeader) == string(boragewick.OutcomeNotRun)
		got.failed = !got.refused
		return got
	}
	lines := bufio.NewScanner(w.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if got.first == 0 {
			got.first = time.Since(start)
		}
		if data == "[DONE]" {
			got.failed = false
		}
		got.count(data)
	}
	return got
}

// usage is the part of a stream's last event that counts tokens.
type usage struct {
	Usage struct {
		Prompt  uint64 `json:"prompt_tokens"`
		Details struct {
			Cached uint64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (s *sample) count(data string) {
	var u usage
	if !strings.Contains(data, `"usage"`) || json.Unmarshal([]byte(data), &u) != nil {
		return
	}
	s.prompt = u.Usage.Prompt
	s.cached = u.Usage.Details.Cached
}

// post sends the request with a prompt in which equal blocks have equal text.
func (s *system) post(ctx context.Context, client *http.Client, q *workload.Request, base string) (*http.Response, error) {
	var text strings.Builder
	unit := boragewick.BlockTokens * boragewick.BytesPerToken / 16
	for _, b := range q.Blocks {
		for range unit {
			fmt.Fprintf(&text, "%016x", uint64(b))
		}
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":%q}`, modelName, q.OutputTokens, text.String())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+s.keys[q.Workspace])
	return client.Do(r)
}
