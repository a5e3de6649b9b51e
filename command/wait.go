package command

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/operatorclient"
)

const (
	// waitFor is how long confirm waits for a plan to be in force everywhere.
	waitFor = 30 * time.Second
	// waitPause is the time between two looks.
	waitPause = 100 * time.Millisecond
)

// awaitInForce waits until every router has the revision in force. The error
// is ErrTimeout and names a router that holds it back.
func awaitInForce(cmd *cobra.Command, c *operatorclient.Client, r boragewick.Revision) error {
	deadline := time.Now().Add(waitFor)
	for {
		status, err := c.Status(cmd.Context())
		if err != nil {
			return err
		}
		behind := heldBack(&status, r)
		if behind == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(boragewick.ErrTimeout, "revision %d is confirmed and not yet in force at %s", r.Index, behind)
		}
		select {
		case <-cmd.Context().Done():
			return cmd.Context().Err()
		case <-time.After(waitPause):
		}
	}
}

// heldBack returns the name of an instance that is behind the revision. A new
// leader knows no instance until the first one has asked it.
func heldBack(s *boragewick.StatusReply, r boragewick.Revision) string {
	if len(s.Instances) == 0 {
		return "any router: the leader knows none"
	}
	for _, i := range s.Instances {
		if i.InForce.Less(r) {
			return i.Name
		}
	}
	return ""
}
