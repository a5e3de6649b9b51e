package engine

import (
	"context"

	"github.com/boragewick/boragewick"
)

// Load returns the engine's newest load report, which lags behind.
func (c *Client) Load(ctx context.Context) (boragewick.EngineLoad, error) {
	var load boragewick.EngineLoad
	err := c.get(ctx, "/load", &load)
	return load, err
}
