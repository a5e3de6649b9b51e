// Package live drives recorded requests through the real services in one
// program on loopback addresses, with stand-ins as engines.
package live

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/workload"
)

// The scenarios besides those of the recorded requests.
const (
	// Herd restarts all routers at the same time, one third into the run.
	Herd = "herd"
	// Silent makes the connections of one engine in four go silent.
	Silent = "silent"
	// Crashes crashes one engine in four to a cold start.
	Crashes = "crashes"
	// DomainLost stops the agents and engines of one failure domain.
	DomainLost = "domain-lost"
)

// Scenarios lists what Run accepts.
var Scenarios = []string{workload.Steady, workload.HotShift, workload.TenfoldLoad, Crashes, DomainLost, Herd, Silent}

// Run is one run of a scenario.
type Run struct {
	Deployment string
	Scenario   string
	Seed       uint64
	// Length is how much of the recorded minute is driven.
	Length time.Duration
}

// Do drives the requests and returns what callers saw.
func (r Run) Do(ctx context.Context) (Result, error) {
	d, err := workload.Named(r.Deployment)
	if err != nil {
		return Result{}, err
	}
	requests, err := workload.Record(d, r.recorded(), r.Seed)
	if err != nil {
		return Result{}, err
	}
	dir, err := os.MkdirTemp("", "boragewick-live-")
	if err != nil {
		return Result{}, errors.Mark(err, boragewick.ErrStorage)
	}
	defer os.RemoveAll(dir)
	s := &system{dir: dir, deployment: d}
	defer s.stop()
	if err := s.start(ctx, requests); err != nil {
		return Result{}, err
	}
	stop := time.AfterFunc(r.Length/3, func() { s.strike(r.Scenario) })
	defer stop.Stop()
	c := collector{}
	s.drive(ctx, requests, r.Length, &c)
	result := c.result(r)
	result.DispatchesPerRequest, err = s.dispatches(ctx)
	return result, err
}

// recorded is the scenario that the requests are recorded for.
func (r Run) recorded() string {
	switch r.Scenario {
	case workload.HotShift, workload.TenfoldLoad:
		return r.Scenario
	default:
		return workload.Steady
	}
}

// WriteTable writes results as a table.
func WriteTable(w io.Writer, results []Result) error {
	t := newTable(w)
	for i := range results {
		results[i].row(t)
	}
	return t.Flush()
}
