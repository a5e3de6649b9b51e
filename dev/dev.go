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

// readyPause is the time between two looks whether everything serves.
const readyPause = 20 * time.Millisecond

// Dev is the whole system in one process.
type Dev struct {
	// Caller and Operator are the addresses towards callers and operators.
	Caller   netip.AddrPort
	Operator netip.AddrPort
	// Data is the folder that keeps the state; empty means a temporary one.
	Data   string
	Logger log.Logger
	// Out gets one line of JSON once everything serves.
	Out io.Writer

	kernel    kernel.Kernel
	processes []*process.Process
	caller    net.Listener
	operator  net.Listener
	secrets   secrets
	ledger    plainservice.Service
}

// greeting is the line that tells how to use the system.
type greeting struct {
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
	d.kernel.Register("greeting", boragewick.ServiceFunc(d.greet))
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

// greet waits until everything serves, sets the demonstration up and tells how
// to use it.
func (d *Dev) greet(ctx context.Context) error {
	if err := d.awaitReady(ctx); err != nil {
		return ignoreDone(ctx, err)
	}
	c := &operatorclient.Client{Base: "http://" + d.operator.Addr().String(), Token: d.secrets.operatorToken}
	if err := d.setUp(ctx, c); err != nil {
		return ignoreDone(ctx, errors.Wrap(err, "set up the demonstration"))
	}
	line, err := json.Marshal(greeting{
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

func ignoreDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (d *Dev) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPause)
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
