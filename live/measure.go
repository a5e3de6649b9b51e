package live

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/boragewick/boragewick"
)

// Result summarizes one run as measured by the callers. Times are in
// milliseconds.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	Requests   int    `json:"requests"`
	// HitRate is the fraction of prompt tokens that were cached.
	HitRate float64 `json:"hit_rate"`
	P50     float64 `json:"first_token_p50_ms"`
	P95     float64 `json:"first_token_p95_ms"`
	P99     float64 `json:"first_token_p99_ms"`
	// WorstWorkspaceP95 is the highest p95 of any workspace.
	WorstWorkspaceP95 float64 `json:"worst_workspace_p95_ms"`
	// Refused counts requests refused as "not run" though they are within
	// the rate. Failed counts the other requests without a complete
	// response.
	Refused              int     `json:"refused"`
	Failed               int     `json:"failed"`
	DispatchesPerRequest float64 `json:"dispatches_per_request"`
}

// sample is the result of one request as measured by its caller.
type sample struct {
	workspace    boragewick.ID
	firstToken   time.Duration
	promptTokens uint64
	cachedTokens uint64
	refused      bool
	failed       bool
}

// collector collects the samples of concurrent callers.
type collector struct {
	mu      sync.Mutex
	samples []sample
}

func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, s)
}

func (c *collector) result(r Run) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := Result{Deployment: r.Deployment, Scenario: r.Scenario, Seed: r.Seed, Requests: len(c.samples)}
	byWorkspace := map[boragewick.ID][]time.Duration{}
	var all []time.Duration
	var promptTokens, cachedTokens uint64
	for _, s := range c.samples {
		switch {
		case s.refused:
			result.Refused++
			continue
		case s.failed:
			result.Failed++
			continue
		}
		all = append(all, s.firstToken)
		byWorkspace[s.workspace] = append(byWorkspace[s.workspace], s.firstToken)
		promptTokens += s.promptTokens
		cachedTokens += s.cachedTokens
	}
	result.HitRate = float64(cachedTokens) / float64(max(1, promptTokens))
	result.P50, result.P95, result.P99 = percentile(all, 50), percentile(all, 95), percentile(all, 99)
	for _, durations := range byWorkspace {
		result.WorstWorkspaceP95 = max(result.WorstWorkspaceP95, percentile(durations, 95))
	}
	return result
}

// percentile returns the p-th percentile in milliseconds.
func percentile(durations []time.Duration, p int) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[min(len(durations)-1, len(durations)*p/100)]) / float64(time.Millisecond)
}

func newTable(w io.Writer) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "deployment\tscenario\tseed\trequests\thit %\tp50 ms\tp95 ms\tp99 ms\tworst p95 ms\trefused\tfailed\tdispatches\t")
	return t
}

func (r *Result) writeRow(w io.Writer) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%.3f\t\n",
		r.Deployment, r.Scenario, r.Seed, r.Requests, 100*r.HitRate, r.P50, r.P95, r.P99,
		r.WorstWorkspaceP95, r.Refused, r.Failed, r.DispatchesPerRequest)
}
