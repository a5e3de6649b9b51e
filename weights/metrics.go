package weights

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	// enginesOut is the gauge of engines that this leader has taken out of service.
	enginesOut = "weights.engines_out"
	// maxOutSeries is the number of versions for which the time out of service is kept.
	maxOutSeries = 8
)

// setOut sets the number of engines out of service.
func (u *Upgrader) setOut(n int) {
	if u.Metrics != nil {
		metrics.GetOrRegisterGauge(enginesOut, u.Metrics).Update(int64(n))
	}
}

// endJob ends the job and counts its time out of service.
func (u *Upgrader) endJob(j *job) {
	u.countOut(j)
	delete(u.jobs, j.endpoint.Name)
}

// countOut adds the job's time out of service to that of its version.
func (u *Upgrader) countOut(j *job) {
	if u.Metrics == nil {
		return
	}
	name := outSeriesName(j.model, j.version)
	if !slices.Contains(u.outSeries, name) {
		u.outSeries = append(u.outSeries, name)
	}
	if len(u.outSeries) > maxOutSeries {
		u.Metrics.Unregister(u.outSeries[0])
		u.outSeries = slices.Delete(u.outSeries, 0, 1)
	}
	metrics.GetOrRegisterCounter(name, u.Metrics).Inc(u.Clock.Now().Sub(j.countedAt).Milliseconds())
}

// outSeriesName returns the name of the metric of the version's time out of service.
// Characters that are not usual in names of metrics are replaced.
func outSeriesName(model string, version uint64) string {
	clean := strings.Map(func(c rune) rune {
		if c > ' ' && c < '\x7f' {
			return c
		}
		return '_'
	}, model)
	return fmt.Sprintf("weights.out_ms.%s.%d", clean, version)
}
