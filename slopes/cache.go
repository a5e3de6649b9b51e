package slopes

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/index"
	"github.com/boragewick/boragewick/prompt"
)

// cacheCosts returns the measurements of the cache index and of hashing prompts.
func cacheCosts() []measurement {
	return []measurement{
		{name: "index: memory", unit: unitBytes, per: "block", sizes: []int{40_000, 77_000, 160_000}, cost: indexMemory},
		{name: "index: events", unit: unitCPU, per: "event of 1 block", sizes: []int{40_000, 77_000, 160_000}, cost: indexTime},
		{name: "prompt: parse and hash", unit: unitCPU, per: "block", sizes: []int{64, 256, 512}, cost: promptTime},
	}
}

// filledIndex returns a new index to which size blocks were added, one event
// each.
func filledIndex(size int) (*index.Index, error) {
	x := &index.Index{}
	epoch := boragewick.CacheEpoch{Engine: "inc_1", Weights: "2026-01-01"}
	x.Reset(epoch)
	for n, b := range blocks(1, size) {
		x.Apply(boragewick.CacheEvent{Epoch: epoch, Number: uint64(n + 1), Kind: boragewick.CacheStored, Blocks: []boragewick.BlockHash{b}})
	}
	if x.Len() != size {
		return nil, errors.Newf("index of %d blocks, want %d", x.Len(), size)
	}
	return x, nil
}

func indexMemory(_ context.Context, size int) (float64, error) {
	return memory(func() (any, error) { return filledIndex(size) })
}

func indexTime(_ context.Context, size int) (float64, error) {
	return processorTime(func() error {
		_, err := filledIndex(size)
		return err
	})
}

// hashesPerRun is how often the prompt is parsed and hashed in one run.
const hashesPerRun = 20

func promptTime(_ context.Context, size int) (float64, error) {
	text := strings.Repeat("borage tea ", size*boragewick.BlockTokens*boragewick.BytesPerToken/11+1)
	body := []byte(`{"model":"model-1","prompt":"` + text + `"}`)
	seed := boragewick.PrefixSeed{Workspace: workspaceID(1), Model: model(1)}
	cost, err := processorTime(func() error {
		for range hashesPerRun {
			p, err := prompt.Parse(body)
			if err != nil {
				return err
			}
			p.Blocks(seed)
		}
		return nil
	})
	return cost / hashesPerRun, err
}
