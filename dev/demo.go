package dev

import (
	"context"
	_ "embed"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/operatorclient"
)

//go:embed demo.ini
var demoIntent []byte

//go:embed demo_key.ini
var demoKeyIntent []byte

// removeKeyIntent takes away a key whose secret was lost.
var removeKeyIntent = []byte("[key /demo/key]\nremove = true\n")

// setUp makes the demonstration's objects unless an earlier run has made them.
func (d *Dev) setUp(ctx context.Context, c *operatorclient.Client) error {
	_, err := c.Get(ctx, boragewick.KindWorkspace, "/demo")
	if errors.Is(err, boragewick.ErrUnknownObject) {
		_, err = apply(ctx, c, demoIntent)
	}
	if err != nil || d.secrets.demoKey != "" {
		return err
	}
	if _, err := c.Get(ctx, boragewick.KindKey, "/demo/key"); err == nil {
		if _, err := apply(ctx, c, removeKeyIntent); err != nil {
			return err
		}
	}
	reply, err := apply(ctx, c, demoKeyIntent)
	if err != nil {
		return err
	}
	d.secrets.demoKey = reply.Keys[0].Secret
	return os.WriteFile(d.path(demoKeyFile), []byte(d.secrets.demoKey+"\n"), 0o600)
}

// apply plans the intent, confirms the plan and waits until it is in force.
func apply(ctx context.Context, c *operatorclient.Client, intent []byte) (boragewick.PlanReply, error) {
	reply, err := c.Plan(ctx, intent)
	if err != nil {
		return reply, err
	}
	d, err := c.Confirm(ctx, reply.Plan.ID)
	if err != nil {
		return reply, err
	}
	return reply, awaitInForce(ctx, c, d.Revision)
}

// awaitInForce waits until every router that the leader knows has the revision
// in force. A leader knows those that ask it for proofs.
func awaitInForce(ctx context.Context, c *operatorclient.Client, r boragewick.Revision) error {
	ticker := time.NewTicker(readyPause)
	defer ticker.Stop()
	behind := func(i boragewick.InstanceStatus) bool { return i.InForce.Less(r) }
	for {
		status, err := c.Status(ctx)
		if err != nil || !slices.ContainsFunc(status.Instances, behind) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
