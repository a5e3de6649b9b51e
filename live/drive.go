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

// callTimeout limits the duration of one request, its stream included.
const callTimeout = time.Minute

// sendAll sends each request at its recorded time, up to length, to the routers
// in turn, and waits for all responses.
func (s *system) sendAll(ctx context.Context, requests []workload.Request, length time.Duration, c *collector) {
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

// call sends one request and reads its stream to the end. A load balancer would
// keep callers away from a router that is down, so a request that gets no
// response is retried.
func (s *system) call(ctx context.Context, client *http.Client, r *workload.Request, base string) sample {
	result := sample{workspace: r.Workspace, failed: true}
	start := time.Now()
	resp, err := s.post(ctx, client, r, base)
	for retries := 0; err != nil && retries < 100 && ctx.Err() == nil; retries++ {
		time.Sleep(10 * time.Millisecond)
		resp, err = s.post(ctx, client, r, base)
	}
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		result.refused = resp.Header.Get(boragewick.OutcomeHeader) == string(boragewick.OutcomeNotRun)
		result.failed = !result.refused
		return result
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if result.firstToken == 0 {
			result.firstToken = time.Since(start)
		}
		if data == "[DONE]" {
			result.failed = false
		}
		result.readUsage(data)
	}
	return result
}

// usage is the part of a stream's last event that holds the token counts.
type usage struct {
	Usage struct {
		Prompt  uint64 `json:"prompt_tokens"`
		Details struct {
			Cached uint64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (s *sample) readUsage(data string) {
	var u usage
	if !strings.Contains(data, `"usage"`) || json.Unmarshal([]byte(data), &u) != nil {
		return
	}
	s.promptTokens = u.Usage.Prompt
	s.cachedTokens = u.Usage.Details.Cached
}

// post sends the request with a prompt in which equal blocks have equal text.
func (s *system) post(ctx context.Context, client *http.Client, r *workload.Request, base string) (*http.Response, error) {
	var text strings.Builder
	repeats := boragewick.BlockTokens * boragewick.BytesPerToken / 16
	for _, b := range r.Blocks {
		for range repeats {
			fmt.Fprintf(&text, "%016x", uint64(b))
		}
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":%q}`, modelName, r.OutputTokens, text.String())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.keys[r.Workspace])
	return client.Do(req)
}
