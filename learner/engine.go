// Package learner adds the blocks of a request to an agent's prefix cache as soon
// as its engine is about to compute them.
package learner

import (
	"context"

	"github.com/boragewick/boragewick"
)

// Engine is a boragewick.Engine that adds a request's blocks to the cache before
// it runs the request, so that probes and later requests see them.
type Engine struct {
	boragewick.Engine
	Cache boragewick.PrefixCache
}

// Run adds the request's blocks to the cache and runs the request.
func (e *Engine) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	e.Cache.PresumeCached(r.Blocks)
	return e.Engine.Run(ctx, r, emit)
}
