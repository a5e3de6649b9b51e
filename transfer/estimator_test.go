package transfer

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/engine"
	"github.com/boragewick/boragewick/standin/modelengine"
)

func TestEstimator(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		base, block, token time.Duration
		failures           int
		minBlocks          int
		never              bool
	}{
		"transfer is cheap":            {base: 0, block: ms, token: ms, minBlocks: 1},
		"a fixed cost of ten blocks":   {base: 540 * ms, block: 10 * ms, token: ms, minBlocks: 11},
		"a fixed cost, a fast network": {base: 70 * ms, block: 0, token: ms, minBlocks: 2},
		"prefill is as fast":           {base: 10 * ms, block: 64 * ms, token: ms, never: true},
		"prefill is faster":            {base: 0, block: 100 * ms, token: ms, never: true},
		"every other import fails":     {base: 540 * ms, block: 10 * ms, token: ms, failures: 100, minBlocks: 25},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			l := &Estimator{Clock: boragewick.ClockFunc(func() time.Time { return now })}
			rnd := rand.New(rand.NewPCG(1, 1))
			for i := range 100 {
				n := 1 + rnd.IntN(50)
				l.RecordImport(n, tt.base+time.Duration(n)*tt.block)
				l.RecordPrefill(uint64(n), time.Duration(n)*tt.token)
				if i < tt.failures {
					l.RecordFailure()
				}
			}
			minBlocks, ok := l.BreakEven()
			if ok == tt.never || minBlocks != tt.minBlocks {
				t.Errorf("imports from %d blocks on, %t, want %d", minBlocks, ok, tt.minBlocks)
			}
			l.nextTrial = now.Add(time.Second)
			if tt.never && l.ShouldImport(1<<20) || !tt.never && (!l.ShouldImport(tt.minBlocks) || l.ShouldImport(tt.minBlocks-1)) {
				t.Error("ShouldImport does not decide by the number that BreakEven returns")
			}
		})
	}
}

func TestTrials(t *testing.T) {
	now := time.Unix(0, 0)
	l := &Estimator{Clock: boragewick.ClockFunc(func() time.Time { return now })}
	trials := 0
	for range 100 {
		now = now.Add(time.Second)
		if l.ShouldImport(minTrialBlocks - 1) {
			t.Error("a short prefix was imported on trial")
		}
		if l.ShouldImport(minTrialBlocks) {
			trials++
		}
	}
	if trials != 10 {
		t.Errorf("%d trials in 100 seconds", trials)
	}
}

// TestEstimatorAdapts checks that decisions follow a network that becomes slow
// and then fast again.
func TestEstimatorAdapts(t *testing.T) {
	l := &Estimator{}
	for i, tt := range []struct {
		block time.Duration
		ok    bool
	}{{time.Millisecond, true}, {time.Second, false}, {time.Millisecond, true}} {
		for n := range 400 {
			l.RecordImport(1+n%20, time.Duration(1+n%20)*tt.block)
			l.RecordPrefill(64, 64*time.Millisecond)
		}
		if _, ok := l.BreakEven(); ok != tt.ok {
			t.Errorf("phase %d: import %t", i, ok)
		}
	}
}

// newClient serves the engine on a loopback port and returns a client for it.
func newClient(tb testing.TB, e *modelengine.Engine) *engine.Client {
	tb.Helper()
	server := httptest.NewServer(e)
	tb.Cleanup(server.Close)
	c := &engine.Client{}
	c.Endpoint = netip.MustParseAddrPort(server.Listener.Addr().String())
	return c
}

func TestExportImport(t *testing.T) {
	from, to := newClient(t, &modelengine.Engine{}), newClient(t, &modelengine.Engine{})
	data := make([]byte, 4096)
	if err := from.Import(t.Context(), 7, data); !errors.Is(err, boragewick.ErrCorrupt) {
		t.Errorf("damaged data: %v", err)
	}
	if _, err := from.Export(t.Context(), 7); !errors.Is(err, boragewick.ErrUnknownObject) {
		t.Errorf("unknown block: %v", err)
	}
	cacheBlock(t, from)
	data, err := from.Export(t.Context(), 7)
	if err != nil {
		t.Fatal(err)
	}
	if err := to.Import(t.Context(), 7, data); err != nil {
		t.Fatal(err)
	}
	if copied, err := to.Export(t.Context(), 7); err != nil || string(copied) != string(data) {
		t.Errorf("the block changed in transfer: %v", err)
	}
}

// cacheBlock puts block 7 into the engine's cache.
func cacheBlock(tb testing.TB, c *engine.Client) {
	tb.Helper()
	r := &boragewick.Request{
		ID: boragewick.NewRequestID(), Method: "POST", Path: "/v1/completions", Blocks: []boragewick.BlockHash{7},
		Body: []byte(`{"model":"m","prompt":"p","max_tokens":1}`),
	}
	if err := c.Run(tb.Context(), r, func(boragewick.Chunk) error { return nil }); err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkTransfer copies one block of the given size from one engine to another
// over loopback and reports the number of blocks from which an import is faster
// than a prefill of 10,000 tokens per second.
func BenchmarkTransfer(b *testing.B) {
	for _, kib := range []int{64, 512, 2048, 8192} {
		b.Run(fmt.Sprintf("%dKiB", kib), func(b *testing.B) {
			from, to := newClient(b, &modelengine.Engine{KVBlockBytes: kib << 10}), newClient(b, &modelengine.Engine{KVBlockBytes: kib << 10})
			cacheBlock(b, from)
			l := &Estimator{}
			l.RecordPrefill(10_000, time.Second)
			for n := 0; b.Loop(); n++ {
				blocks := 1 + n%8
				begin := time.Now()
				for range blocks {
					data, err := from.Export(b.Context(), 7)
					if err == nil {
						err = to.Import(b.Context(), 7, data)
					}
					if err != nil {
						b.Fatal(err)
					}
				}
				l.RecordImport(blocks, time.Since(begin))
			}
			base, slope := l.fit()
			minBlocks, _ := l.BreakEven()
			b.ReportMetric(base*1e3, "ms-fixed")
			b.ReportMetric(slope*1e3, "ms/block")
			b.ReportMetric(float64(minBlocks), "line-blocks")
		})
	}
}
