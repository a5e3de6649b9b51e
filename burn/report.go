package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/histogram"
	"github.com/boragewick/boragewick/window"
)

// percentile is the share that the reported waits don't pass.
const percentile = 0.95

// microsPerMilli converts microseconds.
const microsPerMilli = 1000

// pairs names the pairs of windows with the burn rate from which on they fire.
var pairs = [len(window.Pairs)]struct {
	name  string
	limit float64
}{
	{"5m/1h", 14.4},
	{"30m/6h", 6},
	{"2h/1d", 3},
	{"6h/3d", 1},
}

// Levels returns the service levels as of now, the worst-served first.
func (m *Meter) Levels(now time.Time) []boragewick.ServiceLevel {
	var levels []boragewick.ServiceLevel
	objectives := m.Objectives.WithDefaults()
	for s, l := range m.all() {
		levels = append(levels, l.report(s, objectives, now))
	}
	slices.SortFunc(levels, compare)
	return levels
}

// compare orders service levels by the budget that is left, then by name.
func compare(a, b boragewick.ServiceLevel) int {
	return cmp.Or(
		cmp.Compare(least(a), least(b)),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Model, b.Model),
	)
}

// least returns the smallest budget that is left of any objective.
func least(l boragewick.ServiceLevel) float64 {
	left := 1.0
	for _, b := range l.Burns {
		left = min(left, b.BudgetLeft)
	}
	return left
}

// report returns the service level of the series.
func (l *level) report(s boragewick.Series, o boragewick.Objectives, now time.Time) boragewick.ServiceLevel {
	c := l.copy()
	r := boragewick.ServiceLevel{
		Series:           s,
		Requests:         c.Requests,
		FirstTokenP95:    millis(&l.FirstToken),
		BetweenTokensP95: millis(&l.Gaps),
	}
	for i, name := range boragewick.ObjectiveNames {
		r.Burns = append(r.Burns, burnOf(name, o.Target(name), &c.Counts[i], now))
	}
	for i, n := range c.Causes.sums(now) {
		if n > 0 {
			r.Causes = append(r.Causes, boragewick.CauseCount{Cause: boragewick.Causes[i], Count: n})
		}
	}
	slices.SortStableFunc(r.Causes, func(a, b boragewick.CauseCount) int { return cmp.Compare(b.Count, a.Count) })
	return r
}

// millis returns the reported percentile in milliseconds.
func millis(h *histogram.Histogram) float64 {
	return h.Percentile(percentile) / microsPerMilli
}

// burnOf returns the burn of one objective.
func burnOf(name boragewick.Objective, target float64, c *window.Counts, now time.Time) boragewick.Burn {
	budget := 1 - target
	total, bad := c.Long(len(pairs)-1, now)
	b := boragewick.Burn{Objective: name, Total: total, Bad: bad, BudgetLeft: 1 - rate(total, bad, budget)}
	for i, p := range pairs {
		r := boragewick.BurnRates{Windows: p.name}
		total, bad = c.Short(i, now)
		r.Short = rate(total, bad, budget)
		total, bad = c.Long(i, now)
		r.Long = rate(total, bad, budget)
		r.Firing = r.Short > p.limit && r.Long > p.limit
		b.Rates = append(b.Rates, r)
	}
	return b
}

// rate returns the share of bad events relative to the budget.
func rate(total, bad uint64, budget float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / budget
}
