package learner

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/index"
)

func TestBlocksMatchWhileRequestRuns(t *testing.T) {
	var cache index.Index
	r := &boragewick.Request{Blocks: []boragewick.BlockHash{1, 2, 3}}
	matched := -1
	e := Engine{
		Cache: &cache,
		Engine: boragewick.EngineFunc(func(_ context.Context, r *boragewick.Request, _ func(boragewick.Chunk) error) error {
			matched = cache.Matched(r.Blocks)
			return boragewick.ErrLinkLost
		}),
	}
	if err := e.Run(t.Context(), r, nil); !errors.Is(err, boragewick.ErrLinkLost) {
		t.Errorf("error %v", err)
	}
	if matched != len(r.Blocks) {
		t.Errorf("%d blocks matched while the request ran, want %d", matched, len(r.Blocks))
	}
}
