package quorum

import "github.com/rcrowley/go-metrics"

// reservoirSize is the number of values that a histogram samples.
const reservoirSize = 1028

// nodeMetrics are the metrics of one replica.
type nodeMetrics struct {
	// commits counts the applied entries, snapshots the stored snapshots and
	// installs the received ones.
	commits   metrics.Counter
	snapshots metrics.Counter
	installs  metrics.Counter
	// syncTimes are the durations of synced writes to the log in microseconds,
	// batchSizes their numbers of entries.
	syncTimes  metrics.Histogram
	batchSizes metrics.Histogram
	term       metrics.Gauge
	applied    metrics.Gauge
}

func newNodeMetrics(r metrics.Registry) nodeMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(reservoirSize))
	}
	return nodeMetrics{
		commits:    metrics.GetOrRegisterCounter("replica.commits", r),
		snapshots:  metrics.GetOrRegisterCounter("replica.snapshots", r),
		installs:   metrics.GetOrRegisterCounter("replica.snapshot_installs", r),
		syncTimes:  histogram("replica.sync_us"),
		batchSizes: histogram("replica.batch_entries"),
		term:       metrics.GetOrRegisterGauge("replica.term", r),
		applied:    metrics.GetOrRegisterGauge("replica.applied", r),
	}
}
