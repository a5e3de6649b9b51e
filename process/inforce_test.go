package process

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// benchRouters is the number of routers in BenchmarkInForce.
const benchRouters = 8

// BenchmarkInForce measures the time from an operator's confirm until a change
// is in force at all routers, and until a removed key is refused by all of them.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, benchRouters)
	c := f.client(f.routers[0], "")
	ctx := context.Background()
	var applied, refused []float64
	for n := 0; b.Loop(); n++ {
		reply, err := c.Plan(ctx, fmt.Appendf(nil, "[key /a/key%d]\nworkspace = /a\n", n))
		if err != nil {
			b.Fatal(err)
		}
		key := reply.Keys[0].Secret
		start := time.Now()
		if _, err := c.Confirm(ctx, reply.Plan.ID); err != nil {
			b.Fatal(err)
		}
		f.awaitAtAllRouters(func(r *instance) bool { return r.listModels(key) == http.StatusOK })
		applied = append(applied, millis(start))
		reply, err = c.Plan(ctx, fmt.Appendf(nil, "[key /a/key%d]\nremove = true\n", n))
		if err != nil {
			b.Fatal(err)
		}
		start = time.Now()
		if _, err := c.Confirm(ctx, reply.Plan.ID); err != nil {
			b.Fatal(err)
		}
		f.awaitAtAllRouters(func(r *instance) bool { return r.listModels(key) == http.StatusUnauthorized })
		refused = append(refused, millis(start))
	}
	reportLatencies(b, applied, "in-force")
	reportLatencies(b, refused, "refused")
}

func reportLatencies(b *testing.B, list []float64, name string) {
	slices.Sort(list)
	b.ReportMetric(list[len(list)/2], name+"-p50-ms")
	b.ReportMetric(list[len(list)-1], name+"-max-ms")
}

func millis(since time.Time) float64 { return float64(time.Since(since)) / float64(time.Millisecond) }

// awaitAtAllRouters waits until the condition holds at every router.
func (f *fleet) awaitAtAllRouters(ok func(r *instance) bool) {
	for _, r := range f.routers {
		for !ok(r) {
			time.Sleep(time.Millisecond)
		}
	}
}

// listModels requests the list of models with the key and returns the status.
func (n *instance) listModels(key string) int {
	r, err := http.NewRequest(http.MethodGet, n.caller+"/v1/models", nil)
	if err != nil {
		n.fleet.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer w.Body.Close()
	return w.StatusCode
}

// BenchmarkLeaderLoss measures the longest response time of keyed requests and
// the number of refused ones while the leading control replica stops.
func BenchmarkLeaderLoss(b *testing.B) {
	f := newFleet(b, 1)
	var slowest, refused, requests float64
	for b.Loop() {
		f.await("the key is in force", func() bool { return f.routers[0].chat(f.key).status == http.StatusOK })
		leader := f.leader()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			leader.stop()
		}()
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); requests++ {
			start := time.Now()
			if f.routers[0].chat(f.key).status != http.StatusOK {
				refused++
			}
			slowest = max(slowest, millis(start))
			time.Sleep(pollPause)
		}
		<-stopped
		leader.start()
		f.await("the replica is back", f.ready)
	}
	b.ReportMetric(slowest, "slowest-ms")
	b.ReportMetric(refused, "refused")
	b.ReportMetric(requests, "requests")
}
