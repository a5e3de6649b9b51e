package kvstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/engine"
	"github.com/boragewick/boragewick/index"
	"github.com/boragewick/boragewick/standin/modelengine"
	"github.com/boragewick/boragewick/transfer"
)

// fakeStore is a boragewick.BlockStore whose exports take a fixed time.
type fakeStore struct {
	blocks map[boragewick.BlockHash]bool
	delay  time.Duration
	err    error
}

func (s *fakeStore) Export(ctx context.Context, b boragewick.BlockHash) ([]byte, error) {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return nil, boragewick.ErrTimeout
	}
	if !s.blocks[b] {
		return nil, boragewick.ErrUnknownObject
	}
	return []byte{byte(b)}, s.err
}

func (s *fakeStore) Import(_ context.Context, b boragewick.BlockHash, data []byte) error {
	if string(data) != string([]byte{byte(b)}) {
		return boragewick.ErrCorrupt
	}
	s.blocks[b] = true
	return nil
}

func blockSet(n int) map[boragewick.BlockHash]bool {
	held := map[boragewick.BlockHash]bool{}
	for _, b := range blocks()[:n] {
		held[b] = true
	}
	return held
}

// blocks returns the hashes of a prompt of ten blocks.
func blocks() []boragewick.BlockHash {
	return []boragewick.BlockHash{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
}

// TestRun uses an engine that computes 1000 tokens per second, 64 ms per block.
func TestRun(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		store fakeStore
		// cached is the number of blocks in the engine's cache.
		cached int
		// learned is the time per block that earlier imports took.
		learned time.Duration
		// imported is the number of blocks imported into the engine, took the
		// time to the first token.
		imported int
		took     time.Duration
	}{
		"all in the store":      {store: fakeStore{blocks: blockSet(10), delay: ms}, learned: ms, imported: 10, took: 10 * ms},
		"some in the store":     {store: fakeStore{blocks: blockSet(4), delay: ms}, learned: ms, imported: 4, took: 5*ms + 6*64*ms},
		"none in the store":     {store: fakeStore{blocks: blockSet(0), delay: ms}, learned: ms, took: ms + 10*64*ms},
		"all cached":            {store: fakeStore{blocks: blockSet(10), delay: ms}, cached: 10, learned: ms},
		"the rest in the store": {store: fakeStore{blocks: blockSet(10), delay: ms}, cached: 8, learned: ms, imported: 2, took: 2 * ms},
		"the store is too slow": {store: fakeStore{blocks: blockSet(10), delay: ms}, learned: 65 * ms, took: 10 * 64 * ms},
		"the store became slow": {store: fakeStore{blocks: blockSet(10), delay: time.Minute}, learned: ms, took: 2 * 10 * 64 * ms},
		"the import times out":  {store: fakeStore{blocks: blockSet(10), delay: 200 * ms}, learned: ms, imported: 3, took: 640*ms + 7*64*ms},
		"the store fails":       {store: fakeStore{blocks: blockSet(10), delay: ms, err: errors.New("failed")}, learned: ms, took: ms + 10*64*ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local := &fakeStore{blocks: blockSet(tt.cached)}
				estimator := &transfer.Estimator{}
				estimator.ShouldImport(1 << 20) // uses up the trial that is due
				for range 50 {
					estimator.RecordImport(10, 10*tt.learned)
					estimator.RecordPrefill(1000, time.Second)
				}
				cache := &index.Index{}
				cache.PresumeCached(blocks()[:tt.cached])
				run := func(_ context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
					for _, b := range r.Blocks {
						if !local.blocks[b] {
							time.Sleep(64 * ms)
						}
					}
					return emit(boragewick.Chunk{Number: 1, Data: []byte("token"), End: &boragewick.End{}})
				}
				m := &Importer{Engine: boragewick.EngineFunc(run), Local: local, Store: &tt.store, Cache: cache, Estimator: estimator}
				begin := time.Now()
				err := m.Run(t.Context(), &boragewick.Request{Blocks: blocks(), Stream: true}, func(boragewick.Chunk) error { return nil })
				if took := time.Since(begin); err != nil || took != tt.took {
					t.Errorf("took %s, want %s: %v", took, tt.took, err)
				}
				if n := len(local.blocks) - tt.cached; n != tt.imported {
					t.Errorf("%d blocks imported, want %d", n, tt.imported)
				}
			})
		})
	}
}

// TestExport runs prompts in sequence and checks the number of blocks in the
// store after each.
func TestExport(t *testing.T) {
	type step struct {
		blocks int
		stored int
	}
	tests := map[string]struct {
		local int
		steps []step
	}{
		"the second time":       {10, []step{{10, 0}, {10, 10}, {10, 10}}},
		"a common prefix":       {10, []step{{10, 0}, {4, 4}, {7, 7}}},
		"evicted at the engine": {3, []step{{10, 0}, {10, 3}, {10, 3}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{blocks: blockSet(0)}
				run := func(context.Context, *boragewick.Request, func(boragewick.Chunk) error) error { return nil }
				estimator := &transfer.Estimator{}
				estimator.ShouldImport(1 << 20) // uses up the trial that is due
				m := &Importer{
					Engine: boragewick.EngineFunc(run), Local: &fakeStore{blocks: blockSet(tt.local)}, Store: s,
					Cache: &index.Index{}, Estimator: estimator,
				}
				for i, step := range tt.steps {
					r := &boragewick.Request{Blocks: blocks()[:step.blocks]}
					if err := m.Run(t.Context(), r, func(boragewick.Chunk) error { return nil }); err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Second)
					synctest.Wait()
					if len(s.blocks) != step.stored {
						t.Errorf("after run %d the store has %d blocks, want %d", i+1, len(s.blocks), step.stored)
					}
				}
			})
		})
	}
}

// TestAcrossEngines runs the same prompt at two engines that share a store.
func TestAcrossEngines(t *testing.T) {
	store := newClient(t)
	first, second := newImporter(t, store), newImporter(t, store)
	for range 2 {
		cachedTokens(t, first)
	}
	first.waitForExport()
	if n := cachedTokens(t, second); n != 10*boragewick.BlockTokens {
		t.Errorf("%d tokens cached at the second engine", n)
	}
}

// waitForExport waits until no export is running.
func (m *Importer) waitForExport() {
	for {
		m.mu.Lock()
		done := !m.exporting
		m.mu.Unlock()
		if done {
			return
		}
		runtime.Gosched()
	}
}

func newClient(t *testing.T) *engine.Client {
	t.Helper()
	server := httptest.NewServer(&modelengine.Engine{})
	t.Cleanup(server.Close)
	c := &engine.Client{}
	c.Endpoint = netip.MustParseAddrPort(server.Listener.Addr().String())
	return c
}

// newImporter returns an Importer for a new engine. By its measurements,
// computing a block takes a second and importing one takes no time.
func newImporter(t *testing.T, store *engine.Client) *Importer {
	t.Helper()
	c, estimator := newClient(t), &transfer.Estimator{}
	estimator.RecordPrefill(boragewick.BlockTokens, time.Second)
	estimator.RecordImport(1, 0)
	return &Importer{Engine: c, Local: c, Store: store, Cache: &index.Index{}, Estimator: estimator}
}

// cachedTokens runs a prompt of ten blocks and returns the number of its tokens
// that were cached.
func cachedTokens(t *testing.T, m *Importer) uint64 {
	t.Helper()
	prompt := strings.Repeat("a", 10*boragewick.BlockTokens*boragewick.BytesPerToken)
	r := &boragewick.Request{
		ID: boragewick.NewRequestID(), Method: http.MethodPost, Path: "/v1/completions", Blocks: blocks(),
		Body: []byte(`{"model":"m","prompt":"` + prompt + `","max_tokens":1}`),
	}
	var end boragewick.End
	err := m.Run(t.Context(), r, func(c boragewick.Chunk) error {
		if c.End != nil {
			end = *c.End
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return end.CachedTokens
}
