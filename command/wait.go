package command

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/operatorclient"
)

// waitFor is how long confirm waits for a plan to be in force everywhere.
const waitFor = 30 * time.Second

// awaitInForce waits until every router has the revision in force. The error
// is ErrTimeout and names a router that holds it back.
func awaitInForce(ctx context.Context, c *operatorclient.Client, r boragewick.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, waitFor)
	defer cancel()
	return c.AwaitInForce(ctx, r)
}
