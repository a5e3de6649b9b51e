package quorum

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// benchGroup starts a group of replicas on disk in which at most maxBatch
// requests or messages share one sync.
func benchGroup(b *testing.B, size, maxBatch int, noLease bool) (*group, *runningNode) {
	g := newGroup(b, []string{"a", "b", "c"}[:size]...)
	g.cfg.NoLease = noLease
	g.maxBatch = maxBatch
	for _, name := range g.cfg.Voters {
		g.start(name)
	}
	b.Cleanup(g.stopAll)
	return g, g.leader()
}

// measure spreads b.N calls over concurrent clients and reports their rate and
// latency.
func measure(b *testing.B, clients int, call func() error) {
	latencies := make([]time.Duration, b.N)
	next := make(chan int, b.N)
	for i := range b.N {
		next <- i
	}
	close(next)
	var wg sync.WaitGroup
	b.ResetTimer()
	for range clients {
		wg.Go(func() {
			for i := range next {
				start := time.Now()
				if err := call(); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = time.Since(start)
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "op/s")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-µs")
}

func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, clients := range []int{1, 16, 128} {
			for name, batch := range map[string]int{"group-commit": requestQueueSize, "one-by-one": 1} {
				b.Run(fmt.Sprintf("replicas=%d/clients=%d/%s", size, clients, name), func(b *testing.B) {
					_, leader := benchGroup(b, size, batch, false)
					command := make([]byte, 256)
					measure(b, clients, func() error {
						_, err := leader.Propose(context.Background(), command)
						return err
					})
				})
			}
		}
	}
}

func BenchmarkBarrier(b *testing.B) {
	for _, clients := range []int{1, 128} {
		for name, noLease := range map[string]bool{"lease": false, "quorum": true} {
			b.Run(fmt.Sprintf("clients=%d/%s", clients, name), func(b *testing.B) {
				_, leader := benchGroup(b, 3, requestQueueSize, noLease)
				measure(b, clients, func() error { return leader.Barrier(context.Background()) })
			})
		}
	}
}
