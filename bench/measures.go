package bench

import (
	"slices"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/workload"
)

// warmSeconds is the start of a replay that is not measured.
const warmSeconds = 10

// measures is what is counted in one replay.
type measures struct {
	requests   int
	dispatches int
	refusals   int
	probes     int64
	all        int
	prompt     float64
	matched    float64
	wasted     float64
	seconds    map[boragewick.ID][]float64
}

// counts reports whether the request came after the warm-up.
func counts(r *workload.Request) bool {
	return !r.At.Before(workload.Start.Add(warmSeconds * time.Second))
}

func (m *measures) arrived(r *workload.Request) {
	m.all++
	if counts(r) {
		m.requests++
	}
}

func (m *measures) dispatched(r *workload.Request) {
	if counts(r) {
		m.dispatches++
	}
}

func (m *measures) refused(r *workload.Request) {
	if counts(r) {
		m.refusals++
	}
}

// prefilled counts a prefill with what was cached at the engine and at the
// best engine of the fleet.
func (m *measures) prefilled(r *workload.Request, matched, best int) {
	if !counts(r) {
		return
	}
	m.prompt += float64(r.PromptTokens)
	m.matched += float64(matched * boragewick.BlockTokens)
	m.wasted += float64((best - matched) * boragewick.BlockTokens)
}

func (m *measures) firstToken(r *workload.Request, seconds float64) {
	if !counts(r) {
		return
	}
	if m.seconds == nil {
		m.seconds = map[boragewick.ID][]float64{}
	}
	m.seconds[r.Workspace] = append(m.seconds[r.Workspace], seconds)
}

// row returns the figures of the replay.
func (m *measures) row() Row {
	var all []float64
	worst := 0.0
	for _, s := range m.seconds {
		all = append(all, s...)
		worst = max(worst, quantile(s, 0.95))
	}
	return Row{
		HitRate:              m.matched / m.prompt,
		WastedShare:          m.wasted / m.prompt,
		P50:                  quantile(all, 0.50) * milliseconds,
		P95:                  quantile(all, 0.95) * milliseconds,
		P99:                  quantile(all, 0.99) * milliseconds,
		WorstWorkspaceP95:    worst * milliseconds,
		ProbesPerRequest:     float64(m.probes) / float64(m.all),
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
