// Package dev runs the whole system in one process on loopback addresses: a
// router, three control replicas, and two model endpoints and a plain service
// with their agents and stand-ins.
package dev

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/kernel"
	"github.com/boragewick/boragewick/operatorclient"
	"github.com/boragewick/boragewick/process"
	"github.com/boragewick/boragewick/standin/plainservice"
)

// readyPollInterval is the time between two checks whether all processes are ready.
const readyPollInterval = 20 * time.Millisecond

// Dev is the whole system in one process.
type Dev struct {
	// Caller and Operator are the addresses to listen on for callers and operators.
	Caller   netip.AddrPort
	Operator netip.AddrPort
	// Data is the folder for the state; empty means a temporary folder.
	Data   string
	Logger log.Logger
	// Out receives one line of JSON once the system is ready.
	Out io.Writer

	kernel    kernel.Kernel
	processes []*process.Process
	caller    net.Listener
	operator  net.Listener
	secrets   secrets
	ledger    plainservice.Service
}

// connectionInfo is the line of JSON with the addresses and secrets that clients
// of the system need.
type connectionInfo struct {
	Caller        string `json:"caller"`
	Operator      string `json:"operator"`
	Key           string `json:"key"`
	OperatorToken string `json:"operator_token"`
}

// Run runs the system until ctx is done and it has drained.
func (d *Dev) Run(ctx context.Context) error {
	if d.Data == "" {
		dir, err := os.MkdirTemp("", "boragewick-dev-")
		if err != nil {
			return errors.Mark(err, boragewick.ErrStorage)
		}
		defer os.RemoveAll(dir)
		d.Data = dir
	}
	if err := d.build(); err != nil {
		return err
	}
	d.kernel.Register("greeting", boragewick.ServiceFunc(d.prepareDemo))
	return d.kernel.Run(ctx)
}

func (d *Dev) build() error {
	var err error
	if err := os.MkdirAll(d.Data, 0o700); err != nil {
		return errors.Mark(err, boragewick.ErrStorage)
	}
	if d.secrets, err = loadSecrets(d.Data); err != nil {
		return err
	}
	if d.caller, err = net.Listen("tcp", d.Caller.String()); err != nil {
		return errors.Mark(err, boragewick.ErrBadSettings)
	}
	if d.operator, err = net.Listen("tcp", d.Operator.String()); err != nil {
		return errors.Mark(err, boragewick.ErrBadSettings)
	}
	return d.buildProcesses()
}

// prepareDemo waits until all processes are ready, creates the demo's objects and
// prints the connectionInfo. It returns when ctx is done.
func (d *Dev) prepareDemo(ctx context.Context) error {
	if err := d.awaitReady(ctx); err != nil {
		return ignoreDone(ctx, err)
	}
	c := &operatorclient.Client{Base: "http://" + d.operator.Addr().String(), Token: d.secrets.operatorToken}
	if err := d.createDemoObjects(ctx, c); err != nil {
		return ignoreDone(ctx, errors.Wrap(err, "set up the demonstration"))
	}
	line, err := json.Marshal(connectionInfo{
		Caller:        "http://" + d.caller.Addr().String(),
		Operator:      c.Base,
		Key:           d.secrets.demoKey,
		OperatorToken: d.secrets.operatorToken,
	})
	if err != nil {
		return err
	}
	if _, err := d.Out.Write(append(line, '\n')); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// ignoreDone drops errors that come after ctx is done, since they are part of the
// shutdown.
func ignoreDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (d *Dev) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (d *Dev) ready() bool {
	for _, p := range d.processes {
		if p.Ready() != nil {
			return false
		}
	}
	return true
}

// path returns a file's path in the data folder.
func (d *Dev) path(name string) string { return filepath.Join(d.Data, name) }
