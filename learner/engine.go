// Package learner lets an agent count on the blocks of requests that its engine
// has begun to compute.
package learner

import (
	"context"

	"github.com/boragewick/boragewick"
)

// Engine is a boragewick.Engine that tells the cache of a request's blocks
// before it runs the request, so that probes and later requests see them.
type Engine struct {
	boragewick.Engine
	Cache boragewick.PrefixCache
}

// Run notes the request's blocks and runs the request.
func (e *Engine) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	e.Cache.Learn(r.Blocks)
	return e.Engine.Run(ctx, r, emit)
}
