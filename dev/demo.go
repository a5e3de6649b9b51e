package dev

import (
	"context"
	_ "embed"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/operatorclient"
)

//go:embed demo.ini
var demoIntent []byte

//go:embed demo_key.ini
var demoKeyIntent []byte

// removeKeyIntent removes the demo key when its secret has been lost.
var removeKeyIntent = []byte("[key /demo/key]\nremove = true\n")

// createDemoObjects creates the demo's objects unless an earlier run has created
// them.
func (d *Dev) createDemoObjects(ctx context.Context, c *operatorclient.Client) error {
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
	return reply, c.AwaitInForce(ctx, d.Revision)
}
