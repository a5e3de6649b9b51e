// Package live sends recorded requests through the real services, which run in
// one program on loopback addresses, with stand-ins for the engines.
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

// Fault scenarios. They run with the requests recorded for workload.Steady.
const (
	// Herd restarts all routers at the same time, one third into the run.
	Herd = "herd"
	// Silent makes the open connections of one engine in four hang.
	Silent = "silent"
	// Crashes restarts one engine in four with an empty cache.
	Crashes = "crashes"
	// DomainLost stops the agents and engines of one failure domain.
	DomainLost = "domain-lost"
)

// Scenarios lists the scenarios that Run accepts.
var Scenarios = []string{workload.Steady, workload.HotShift, workload.TenfoldLoad, Crashes, DomainLost, Herd, Silent}

// Run is one run of a scenario.
type Run struct {
	Deployment string
	Scenario   string
	Seed       uint64
	// Length is how much of the recorded minute is sent.
	Length time.Duration
}

// Do starts the system, sends the requests and returns the results as measured
// by the callers. It injects the scenario's fault after a third of Length.
func (r Run) Do(ctx context.Context) (Result, error) {
	d, err := workload.DeploymentByName(r.Deployment)
	if err != nil {
		return Result{}, err
	}
	requests, err := workload.Generate(d, r.recordedScenario(), r.Seed)
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
	faultTimer := time.AfterFunc(r.Length/3, func() { s.injectFault(r.Scenario) })
	defer faultTimer.Stop()
	c := collector{}
	s.sendAll(ctx, requests, r.Length, &c)
	result := c.result(r)
	result.DispatchesPerRequest, err = s.dispatchesPerRequest(ctx)
	return result, err
}

// recordedScenario returns the scenario for which the requests are recorded.
func (r Run) recordedScenario() string {
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
		results[i].writeRow(t)
	}
	return t.Flush()
}
