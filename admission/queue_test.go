package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	prefillPerSecond = 10_000
	decodeStep       = time.Millisecond
)

// serialEngine simulates an engine that computes prompts one after the other and
// decodes concurrently.
type serialEngine chan struct{}

func (e serialEngine) run(s boragewick.Slot, w boragewick.Work) {
	e <- struct{}{}
	time.Sleep(time.Duration(w.Prefill) * time.Second / prefillPerSecond)
	<-e
	s.FirstToken()
	time.Sleep(time.Duration(w.Output) * decodeStep)
	s.Release()
}

// queueWait is the time one request waited for its admission, and the longest
// wait that is consistent with its workspace's share.
type queueWait struct {
	took, bound time.Duration
}

// runTraffic sends 60 seconds of seeded traffic from five workspaces, the first
// one at factor times its rate, and returns the waits of the other four.
func runTraffic(t testing.TB, seed uint64, factor int, id func(i int) boragewick.ID) []queueWait {
	const workspaces, perSecond, maxPrefill, quantum, largest = 5, 3, 2000, 1000, 1050
	q := &Queue{MaxBatch: 64, MaxPrefill: maxPrefill, MaxQueued: 1 << 20, Quantum: quantum}
	e := make(serialEngine, 1)
	var waits []queueWait
	var senders, flood, others sync.WaitGroup
	var mu sync.Mutex
	ctx, cancel := context.WithCancel(t.Context())
	for i := range workspaces {
		rnd := rand.New(rand.NewPCG(seed, uint64(i)))
		rate := perSecond
		if i == 0 {
			rate *= factor
		}
		senders.Go(func() {
			for sent := time.Duration(0); sent < time.Minute; {
				gap := time.Duration(rnd.ExpFloat64() * float64(time.Second) / float64(rate))
				time.Sleep(gap)
				sent += gap
				w := boragewick.Work{Workspace: id(i), Prefill: 50 + rnd.Uint64N(largest-100), Output: 50}
				q.mu.Lock()
				own := cost(&w)
				if f := q.ring.flows[w.Workspace]; f != nil {
					own += f.backlog
				}
				q.mu.Unlock()
				measured := func() {
					begin := time.Now()
					s, err := q.Admit(ctx, w)
					if err != nil {
						return
					}
					ahead := own*workspaces + (workspaces-1)*(2*quantum+largest) + 2*maxPrefill + w.Prefill
					mu.Lock()
					waits = append(waits, queueWait{time.Since(begin), time.Duration(ahead) * time.Second / prefillPerSecond})
					mu.Unlock()
					e.run(s, w)
				}
				if i == 0 {
					flood.Go(func() {
						s, err := q.Admit(ctx, w)
						if err == nil {
							e.run(s, w)
						}
					})
					continue
				}
				others.Go(measured)
			}
		})
	}
	senders.Wait()
	others.Wait()
	cancel()
	flood.Wait()
	if l := q.Load(); l != (boragewick.Load{}) {
		t.Errorf("load %+v after the last request", l)
	}
	return waits
}

func quantile(waits []queueWait, share float64) time.Duration {
	slices.SortFunc(waits, func(a, b queueWait) int { return int(a.took - b.took) })
	return waits[int(float64(len(waits)-1)*share)].took
}

func ownWorkspace(i int) boragewick.ID { return boragewick.ID(fmt.Sprint(i)) }

// TestShares checks that a workspace that sends ten times its rate doesn't delay
// the other four beyond their shares. The same traffic in a single shared
// workspace confirms that the load is heavy enough for shares to matter.
func TestShares(t *testing.T) {
	sharedWorkspace := func(int) boragewick.ID { return "all" }
	for name, seed := range map[string]uint64{"seed 1": 1, "seed 2": 2, "seed 3": 3} {
		t.Run(name, func(t *testing.T) {
			var calm, flooded, unshared []queueWait
			synctest.Test(t, func(t *testing.T) { calm = runTraffic(t, seed, 1, ownWorkspace) })
			synctest.Test(t, func(t *testing.T) { flooded = runTraffic(t, seed, 10, ownWorkspace) })
			synctest.Test(t, func(t *testing.T) { unshared = runTraffic(t, seed, 10, sharedWorkspace) })
			for _, w := range slices.Concat(calm, flooded) {
				if w.took > w.bound {
					t.Errorf("waited %s, more than the %s that its share allows", w.took, w.bound)
				}
			}
			if quantile(unshared, 0.5) < quantile(flooded, 1) {
				t.Errorf("the load is too light for shares to matter: p50 wait %s without shares", quantile(unshared, 0.5))
			}
			for name, waits := range map[string][]queueWait{"calm": calm, "flooded": flooded, "unshared": unshared} {
				t.Logf("%s: %d requests, p50 %s p99 %s max %s", name, len(waits), quantile(waits, 0.5), quantile(waits, 0.99), quantile(waits, 1))
			}
		})
	}
}

// queueWithKnownRate returns a queue that has measured a prefill rate of 1000
// tokens per second.
func queueWithKnownRate() *Queue {
	q := &Queue{MaxBatch: 1, MaxQueued: 2}
	q.throughput.prefill.add(1000, time.Second)
	return q
}

func TestAdmitRefuses(t *testing.T) {
	tests := map[string]struct {
		work     boragewick.Work
		deadline time.Duration
		// busy is how long the only place in the batch is occupied.
		busy    time.Duration
		cancel  time.Duration
		want    error
		retryIn time.Duration
	}{
		"room":                 {work: boragewick.Work{Prefill: 1000}, deadline: 2 * time.Second},
		"no deadline":          {work: boragewick.Work{Prefill: 1 << 20}},
		"deadline past":        {deadline: -time.Second, want: boragewick.ErrOverloaded, retryIn: time.Second},
		"prefill too long":     {work: boragewick.Work{Prefill: 5000}, deadline: 2 * time.Second, want: boragewick.ErrOverloaded, retryIn: 3 * time.Second},
		"waits":                {work: boragewick.Work{Prefill: 1000}, deadline: 10 * time.Second, busy: 5 * time.Second},
		"too late once served": {work: boragewick.Work{Prefill: 1000}, deadline: 5500 * time.Millisecond, busy: 5 * time.Second, want: boragewick.ErrOverloaded, retryIn: 0},
		"expires in the queue": {work: boragewick.Work{Prefill: 1000}, deadline: 3 * time.Second, busy: 5 * time.Second, want: boragewick.ErrOverloaded, retryIn: -2 * time.Second},
		"canceled":             {work: boragewick.Work{Prefill: 1000}, busy: 5 * time.Second, cancel: time.Second, want: boragewick.ErrCanceled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := queueWithKnownRate()
				if tt.busy > 0 {
					s, err := q.Admit(t.Context(), boragewick.Work{})
					if err != nil {
						t.Fatal(err)
					}
					time.AfterFunc(tt.busy, s.Release)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tt.cancel > 0 {
					time.AfterFunc(tt.cancel, cancel)
				}
				begin := time.Now()
				if tt.deadline != 0 {
					tt.work.Deadline = begin.Add(tt.deadline)
				}
				s, err := q.Admit(ctx, tt.work)
				if !errors.Is(err, tt.want) || errors.Is(err, boragewick.ErrNotRun) != (tt.want != nil) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				var retry *boragewick.RetryError
				if errors.As(err, &retry) && retry.At.Sub(begin.Add(tt.busy)) != tt.retryIn {
					t.Errorf("retry at %s, want %s", retry.At.Sub(begin.Add(tt.busy)), tt.retryIn)
				}
				if s != nil {
					s.FirstToken()
					s.Release()
					s.Release()
				}
				time.Sleep(tt.busy)
				if l := q.Load(); l != (boragewick.Load{}) {
					t.Errorf("load %+v", l)
				}
			})
		})
	}
}

// TestShedByDeadline checks which request is refused when the queue is full.
func TestShedByDeadline(t *testing.T) {
	type request struct {
		workspace boragewick.ID
		deadline  time.Duration
		prefill   uint64
	}
	tests := map[string]struct {
		sent    []request
		refused int
	}{
		"the latest without deadlines":    {[]request{{"a", 0, 1}, {"a", 0, 1}, {"a", 0, 1}}, 2},
		"an early one with less time":     {[]request{{"a", time.Minute, 1}, {"a", time.Hour, 1}, {"a", time.Hour, 1}}, 0},
		"one of the largest backlog":      {[]request{{"a", 0, 500}, {"a", 0, 500}, {"b", time.Minute, 1}}, 1},
		"the newcomer with a far backlog": {[]request{{"b", time.Minute, 1}, {"a", 0, 500}, {"a", time.Minute, 500}}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := queueWithKnownRate()
				block, err := q.Admit(t.Context(), boragewick.Work{})
				if err != nil {
					t.Fatal(err)
				}
				errs := make([]error, len(tt.sent))
				var group sync.WaitGroup
				for i, s := range tt.sent {
					w := boragewick.Work{Workspace: s.workspace, Prefill: s.prefill}
					if s.deadline > 0 {
						w.Deadline = time.Now().Add(s.deadline)
					}
					group.Go(func() {
						var slot boragewick.Slot
						if slot, errs[i] = q.Admit(t.Context(), w); errs[i] == nil {
							slot.Release()
						}
					})
					synctest.Wait()
				}
				block.Release()
				group.Wait()
				for i, err := range errs {
					if (err != nil) != (i == tt.refused) {
						t.Errorf("request %d: %v, want %d refused", i, err, tt.refused)
					}
				}
			})
		})
	}
}

func TestPriorityWithinWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &Queue{MaxBatch: 1}
		block, err := q.Admit(t.Context(), boragewick.Work{})
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		var group sync.WaitGroup
		for _, w := range []boragewick.Work{
			{Request: "a0", Workspace: "a", Prefill: 1024},
			{Request: "a1", Workspace: "a", Prefill: 1024, Priority: 1},
			{Request: "b0", Workspace: "b", Prefill: 1024},
			{Request: "a9", Workspace: "a", Prefill: 1024, Priority: 9},
		} {
			group.Go(func() {
				if s, err := q.Admit(t.Context(), w); err == nil {
					got = append(got, string(w.Request))
					s.Release()
				}
			})
			synctest.Wait()
		}
		block.Release()
		group.Wait()
		if fmt.Sprint(got) != "[a9 b0 a1 a0]" {
			t.Errorf("served %v", got)
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	for name, workspaces := range map[string]int{"one workspace": 1, "five workspaces": 5} {
		b.Run(name, func(b *testing.B) {
			q := &Queue{MaxBatch: 8, MaxQueued: 1 << 20}
			b.ReportAllocs()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				w := boragewick.Work{Prefill: 100, Output: 100}
				for i := 0; pb.Next(); i++ {
					w.Workspace = ownWorkspace(i % workspaces)
					s, err := q.Admit(b.Context(), w)
					if err != nil {
						b.Error(err)
						return
					}
					s.FirstToken()
					s.Release()
				}
			})
		})
	}
}
