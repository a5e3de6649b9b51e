package engine

import (
	"context"

	"github.com/boragewick/boragewick"
)

// Load returns the engine's latest load report, which lags behind its actual load.
func (c *Client) Load(ctx context.Context) (boragewick.EngineLoad, error) {
	var load boragewick.EngineLoad
	err := c.get(ctx, "/load", &load)
	return load, err
}
