package control

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// member changes the membership of the control replicas and returns the leader's
// status after the change.
func (c *Control) member(ctx context.Context, r boragewick.MemberRequest) (boragewick.LogStatus, error) {
	if err := c.changeMember(ctx, r); err != nil {
		return boragewick.LogStatus{}, err
	}
	_ = level.Info(c.Logger).Log("msg", "membership changed", "action", r.Action, "replica", r.Replica, "operator", r.Operator)
	return c.Log.Status(), nil
}

func (c *Control) changeMember(ctx context.Context, r boragewick.MemberRequest) error {
	switch r.Action {
	case boragewick.MemberAdd:
		return c.Group.Add(ctx, r.Replica)
	case boragewick.MemberPromote:
		return c.Group.Promote(ctx, r.Replica)
	case boragewick.MemberRemove:
		return c.Group.Remove(ctx, r.Replica)
	default:
		return errors.Wrapf(boragewick.ErrMalformed, "%q is none of add, promote, remove", r.Action)
	}
}
