package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/index"
	"github.com/boragewick/boragewick/standin/modelengine"
)

// TestFollow sends pseudorandom requests with a fixed seed while faults are injected
// into the engine. At the end, the index must hold the same blocks as the engine.
func TestFollow(t *testing.T) {
	tests := map[string]struct {
		engine *modelengine.Engine
		faults []string
	}{
		"no fault":           {engine: &modelengine.Engine{}},
		"late":               {engine: &modelengine.Engine{EventDelay: 2 * time.Second}},
		"gaps":               {engine: &modelengine.Engine{EventLoss: 0.3, Seed: 1}},
		"late with gaps":     {engine: &modelengine.Engine{EventDelay: 2 * time.Second, EventLoss: 0.3, Seed: 2}},
		"nothing gets out":   {engine: &modelengine.Engine{EventLoss: 1}},
		"crash":              {engine: &modelengine.Engine{}, faults: []string{modelengine.FaultCrash}},
		"crash with gaps":    {engine: &modelengine.Engine{EventLoss: 0.3}, faults: []string{modelengine.FaultCrash}},
		"crash twice":        {engine: &modelengine.Engine{EventDelay: time.Second}, faults: []string{modelengine.FaultCrash, modelengine.FaultCrash}},
		"silence":            {engine: &modelengine.Engine{}, faults: []string{modelengine.FaultSilence}},
		"silence and crash":  {engine: &modelengine.Engine{}, faults: []string{modelengine.FaultSilence, modelengine.FaultCrash}},
		"crash and silence":  {engine: &modelengine.Engine{}, faults: []string{modelengine.FaultCrash, modelengine.FaultSilence}},
		"silence, with gaps": {engine: &modelengine.Engine{EventDelay: time.Second, EventLoss: 0.5}, faults: []string{modelengine.FaultSilence}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.engine.CacheBlocks = 50
				c := newTestClient(t, tt.engine, tt.engine)
				cached := &index.Index{}
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				wg.Go(func() { _ = c.Follow(ctx, cached) })
				rnd := rand.New(rand.NewPCG(7, 7))
				for i := range 60 {
					r := request(string(boragewick.NewRequestID()), true)
					r.Blocks = nil
					for range 1 + rnd.IntN(8) {
						r.Blocks = append(r.Blocks, boragewick.BlockHash(rnd.IntN(200)))
					}
					if len(tt.faults) > 0 && i%20 == 19 {
						_ = tt.engine.Inject(tt.faults[i/20%len(tt.faults)], 1)
					}
					if _, _, err := collect(t.Context(), t, c, r); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(10 * time.Second)
				var l boragewick.EngineListing
				if err := c.get(t.Context(), "/blocks", &l); err != nil {
					t.Fatal(err)
				}
				if len(l.Blocks) == 0 || cached.Len() != len(l.Blocks) || cached.Reset(boragewick.CacheEpoch{Engine: l.Epoch}) {
					t.Errorf("index of %d blocks, engine %s has %d", cached.Len(), l.Epoch, len(l.Blocks))
				}
				for _, b := range l.Blocks {
					if cached.Matched([]boragewick.BlockHash{b}) != 1 {
						t.Errorf("block %d is missing", b)
					}
				}
				cancel()
				wg.Wait()
			})
		})
	}
}
