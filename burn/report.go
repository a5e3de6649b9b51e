package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/histogram"
	"github.com/boragewick/boragewick/window"
)

// reportedPercentile is the percentile of the reported waiting times.
const reportedPercentile = 0.95

// microsPerMilli converts microseconds to milliseconds.
const microsPerMilli = 1000

// windowPairs lists the names of the window pairs and the burn rates above which
// they fire.
var windowPairs = [len(window.ShortWindows)]struct {
	name      string
	threshold float64
}{
	{"5m/1h", 14.4},
	{"30m/6h", 6},
	{"2h/1d", 3},
	{"6h/3d", 1},
}

// Levels returns the service levels as of now, the one with the smallest remaining
// error budget first.
func (m *Meter) Levels(now time.Time) []boragewick.ServiceLevel {
	var levels []boragewick.ServiceLevel
	objectives := m.Objectives.WithDefaults()
	for s, l := range m.allLevels() {
		levels = append(levels, l.report(s, objectives, now))
	}
	slices.SortFunc(levels, compareLevels)
	return levels
}

// compareLevels orders service levels by remaining error budget, then by series.
func compareLevels(a, b boragewick.ServiceLevel) int {
	return cmp.Or(
		cmp.Compare(minBudgetLeft(a), minBudgetLeft(b)),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Model, b.Model),
	)
}

// minBudgetLeft returns the smallest remaining error budget of any objective.
func minBudgetLeft(l boragewick.ServiceLevel) float64 {
	left := 1.0
	for _, b := range l.Burns {
		left = min(left, b.BudgetLeft)
	}
	return left
}

// report returns the service level of the series as of now.
func (l *level) report(s boragewick.Series, o boragewick.Objectives, now time.Time) boragewick.ServiceLevel {
	c := l.copy()
	r := boragewick.ServiceLevel{
		Series:           s,
		Requests:         c.Requests,
		FirstTokenP95:    percentileMillis(&l.FirstToken),
		BetweenTokensP95: percentileMillis(&l.Gaps),
	}
	for i, name := range boragewick.ObjectiveNames {
		r.Burns = append(r.Burns, objectiveBurn(name, o.Target(name), &c.Counts[i], now))
	}
	for i, n := range c.Causes.sums(now) {
		if n > 0 {
			r.Causes = append(r.Causes, boragewick.CauseCount{Cause: boragewick.Causes[i], Count: n})
		}
	}
	slices.SortStableFunc(r.Causes, func(a, b boragewick.CauseCount) int { return cmp.Compare(b.Count, a.Count) })
	return r
}

// percentileMillis returns the reported percentile in milliseconds.
func percentileMillis(h *histogram.Histogram) float64 {
	return h.Percentile(reportedPercentile) / microsPerMilli
}

// objectiveBurn returns the remaining budget and the burn rates of one objective.
func objectiveBurn(name boragewick.Objective, target float64, c *window.Counts, now time.Time) boragewick.Burn {
	budget := 1 - target
	total, bad := c.Long(len(windowPairs)-1, now)
	b := boragewick.Burn{Objective: name, Total: total, Bad: bad, BudgetLeft: 1 - burnRate(total, bad, budget)}
	for i, p := range windowPairs {
		r := boragewick.BurnRates{Windows: p.name}
		total, bad = c.Short(i, now)
		r.Short = burnRate(total, bad, budget)
		total, bad = c.Long(i, now)
		r.Long = burnRate(total, bad, budget)
		r.Firing = r.Short > p.threshold && r.Long > p.threshold
		b.Rates = append(b.Rates, r)
	}
	return b
}

// burnRate returns the share of bad events divided by the budget.
func burnRate(total, bad uint64, budget float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(bad) / float64(total) / budget
}
