package bench

import (
	"slices"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/workload"
)

// warmSeconds is the length of the warm-up at the start of a replay, which is not
// measured.
const warmSeconds = 10

// replayStats holds the counters and latencies of one replay.
type replayStats struct {
	requests          int
	dispatches        int
	refusals          int
	probes            int64
	allRequests       int
	promptTokens      float64
	matchedTokens     float64
	wastedTokens      float64
	firstTokenSeconds map[boragewick.ID][]float64
}

// afterWarmUp reports whether the request arrived after the warm-up.
func afterWarmUp(r *workload.Request) bool {
	return !r.At.Before(workload.Start.Add(warmSeconds * time.Second))
}

func (m *replayStats) arrived(r *workload.Request) {
	m.allRequests++
	if afterWarmUp(r) {
		m.requests++
	}
}

func (m *replayStats) dispatched(r *workload.Request) {
	if afterWarmUp(r) {
		m.dispatches++
	}
}

func (m *replayStats) refused(r *workload.Request) {
	if afterWarmUp(r) {
		m.refusals++
	}
}

// prefilled records a prefill, given the number of leading blocks cached on its
// engine and the highest such number in the fleet.
func (m *replayStats) prefilled(r *workload.Request, matched, best int) {
	if !afterWarmUp(r) {
		return
	}
	m.promptTokens += float64(r.PromptTokens)
	m.matchedTokens += float64(matched * boragewick.BlockTokens)
	m.wastedTokens += float64((best - matched) * boragewick.BlockTokens)
}

func (m *replayStats) firstToken(r *workload.Request, seconds float64) {
	if !afterWarmUp(r) {
		return
	}
	if m.firstTokenSeconds == nil {
		m.firstTokenSeconds = map[boragewick.ID][]float64{}
	}
	m.firstTokenSeconds[r.Workspace] = append(m.firstTokenSeconds[r.Workspace], seconds)
}

// row returns the results of the replay.
func (m *replayStats) row() Row {
	var all []float64
	worst := 0.0
	for _, s := range m.firstTokenSeconds {
		all = append(all, s...)
		worst = max(worst, quantile(s, 0.95))
	}
	return Row{
		HitRate:              m.matchedTokens / m.promptTokens,
		WastedShare:          m.wastedTokens / m.promptTokens,
		P50:                  quantile(all, 0.50) * millisecondsPerSecond,
		P95:                  quantile(all, 0.95) * millisecondsPerSecond,
		P99:                  quantile(all, 0.99) * millisecondsPerSecond,
		WorstWorkspaceP95:    worst * millisecondsPerSecond,
		ProbesPerRequest:     float64(m.probes) / float64(m.allRequests),
		DispatchesPerRequest: float64(m.dispatches) / float64(m.requests),
		Unserved:             float64(m.requests - len(all)),
	}
}

// quantile returns the q-quantile of the values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
