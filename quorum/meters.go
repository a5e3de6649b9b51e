package quorum

import "github.com/rcrowley/go-metrics"

// sampledValues is the size of the reservoir behind a histogram.
const sampledValues = 1028

// meters are the figures that a replica keeps of itself.
type meters struct {
	// commits counts the entries applied, snapshots those stored and installs
	// those received.
	commits   metrics.Counter
	snapshots metrics.Counter
	installs  metrics.Counter
	// syncs are the times of the writes to the log in microseconds, batches
	// their numbers of entries.
	syncs   metrics.Histogram
	batches metrics.Histogram
	term    metrics.Gauge
	applied metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewUniformSample(sampledValues))
	}
	return meters{
		commits:   metrics.GetOrRegisterCounter("replica.commits", r),
		snapshots: metrics.GetOrRegisterCounter("replica.snapshots", r),
		installs:  metrics.GetOrRegisterCounter("replica.snapshot_installs", r),
		syncs:     histogram("replica.sync_us"),
		batches:   histogram("replica.batch_entries"),
		term:      metrics.GetOrRegisterGauge("replica.term", r),
		applied:   metrics.GetOrRegisterGauge("replica.applied", r),
	}
}
