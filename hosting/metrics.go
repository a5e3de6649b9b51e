package hosting

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// percentiles are the quantiles reported for each timer and histogram.
var percentiles = []float64{0.5, 0.95, 0.99}

// serveMetrics writes each metric as a line with its name and value. Times are
// in milliseconds.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	n.metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, m.Value()))
		case metrics.Timer:
			lines = append(lines, fmt.Sprintf("%s.count %d\n", name, m.Count()))
			for i, v := range m.Percentiles(percentiles) {
				lines = append(lines, fmt.Sprintf("%s.p%g_ms %.1f\n", name, 100*percentiles[i], v/float64(time.Millisecond)))
			}
		case metrics.Histogram:
			lines = append(lines, fmt.Sprintf("%s.count %d\n", name, m.Count()))
			for i, v := range m.Percentiles(percentiles) {
				lines = append(lines, fmt.Sprintf("%s.p%g %.1f\n", name, 100*percentiles[i], v))
			}
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range lines {
		if _, err := w.Write([]byte(line)); err != nil {
			return // the client has disconnected
		}
	}
}
