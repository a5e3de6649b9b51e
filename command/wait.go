package command

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/operatorclient"
)

// awaitInForceTimeout is how long confirm waits for a plan to be in force at every
// router.
const awaitInForceTimeout = 30 * time.Second

// awaitInForce waits until every router has the revision in force. The error
// is ErrTimeout and names a router at which the revision is not in force.
func awaitInForce(ctx context.Context, c *operatorclient.Client, r boragewick.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, awaitInForceTimeout)
	defer cancel()
	return c.AwaitInForce(ctx, r)
}
