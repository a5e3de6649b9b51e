package learner

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/index"
)

func TestBlocksCountWhileTheRequestRuns(t *testing.T) {
	var cache index.Index
	r := &boragewick.Request{Blocks: []boragewick.BlockHash{1, 2, 3}}
	during := -1
	e := Engine{
		Cache: &cache,
		Engine: boragewick.EngineFunc(func(_ context.Context, r *boragewick.Request, _ func(boragewick.Chunk) error) error {
			during = cache.Matched(r.Blocks)
			return boragewick.ErrLinkLost
		}),
	}
	if err := e.Run(t.Context(), r, nil); !errors.Is(err, boragewick.ErrLinkLost) {
		t.Errorf("error %v", err)
	}
	if during != len(r.Blocks) {
		t.Errorf("%d blocks counted while the request ran, want %d", during, len(r.Blocks))
	}
}
