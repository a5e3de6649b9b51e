// Package bench compares routing policies offline by replaying the same recorded
// requests against simulated engines.
package bench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"

	"github.com/boragewick/boragewick/bench/policy"
	"github.com/boragewick/boragewick/bench/workload"
)

const millisecondsPerSecond = 1000

// Options selects what to compare. An empty list selects everything; without
// seeds, 1 to 5 are used.
type Options struct {
	Deployments []string
	Scenarios   []string
	Policies    []string
	Seeds       []uint64
	// Workers is the number of concurrent replays; zero means GOMAXPROCS.
	Workers int
}

// Report holds one row for each deployment, scenario and policy.
type Report struct {
	Seeds []uint64 `json:"seeds"`
	Rows  []Row    `json:"rows"`
}

// Row holds the results of one policy, averaged over the seeds. P50, P95 and P99
// are percentiles of the time to first token in milliseconds.
type Row struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	// HitRate is the fraction of prompt tokens that were cached.
	HitRate float64 `json:"hit_rate"`
	// WastedShare is the fraction of prompt tokens that were prefilled although
	// another engine had them cached.
	WastedShare float64 `json:"wasted_share"`
	P50         float64 `json:"p50_milliseconds"`
	P95         float64 `json:"p95_milliseconds"`
	P99         float64 `json:"p99_milliseconds"`
	// WorstWorkspaceP95 is the highest P95 of any workspace.
	WorstWorkspaceP95    float64 `json:"worst_workspace_p95_milliseconds"`
	ProbesPerRequest     float64 `json:"probes_per_request"`
	DispatchesPerRequest float64 `json:"dispatches_per_request"`
	// Unserved is the number of requests without a first token.
	Unserved float64 `json:"unserved"`
}

// Run replays each scenario under each policy. It returns ErrBadSettings if an
// option contains an unknown name.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.withDefaults()
	report := Report{Seeds: o.Seeds}
	for _, d := range o.Deployments {
		for _, s := range o.Scenarios {
			rows, err := o.compare(ctx, d, s)
			if err != nil {
				return Report{}, err
			}
			report.Rows = append(report.Rows, rows...)
		}
	}
	return report, nil
}

// WriteTable writes the report as a table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "deployment\tscenario\tpolicy\thit %\twasted %\tp50 ms\tp95 ms\tp99 ms\tworst p95 ms\tprobes\tdispatches\tunserved\t")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t%.1f\t\n",
			row.Deployment, row.Scenario, row.Policy, 100*row.HitRate, 100*row.WastedShare,
			row.P50, row.P95, row.P99, row.WorstWorkspaceP95,
			row.ProbesPerRequest, row.DispatchesPerRequest, row.Unserved)
	}
	return t.Flush()
}

func (o Options) withDefaults() Options {
	if len(o.Deployments) == 0 {
		o.Deployments = workload.Deployments()
	}
	if len(o.Scenarios) == 0 {
		o.Scenarios = workload.Scenarios
	}
	if len(o.Policies) == 0 {
		o.Policies = policy.Names
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3, 4, 5}
	}
	if o.Workers == 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	return o
}

// compare replays one scenario with each seed under each policy and returns a
// row for each policy.
func (o Options) compare(ctx context.Context, deployment, scenario string) ([]Row, error) {
	d, err := workload.DeploymentByName(deployment)
	if err != nil {
		return nil, err
	}
	results := make([][]Row, len(o.Policies))
	for i := range results {
		results[i] = make([]Row, len(o.Seeds))
	}
	errs := make([]error, len(o.Seeds)*len(o.Policies))
	slots := make(chan struct{}, o.Workers)
	var wg sync.WaitGroup
	for si, seed := range o.Seeds {
		requests, err := workload.Generate(d, scenario, seed)
		if err != nil {
			return nil, err
		}
		for pi, name := range o.Policies {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				results[pi][si], errs[si*len(o.Policies)+pi] = replayOnce(ctx, d, scenario, name, seed, requests)
			})
		}
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	rows := make([]Row, len(o.Policies))
	for i, name := range o.Policies {
		rows[i] = mean(results[i])
		rows[i].Deployment, rows[i].Scenario, rows[i].Policy = deployment, scenario, name
	}
	return rows, nil
}

// replayOnce runs one replay and returns its results.
func replayOnce(ctx context.Context, d *workload.Deployment, scenario, name string, seed uint64, requests []workload.Request) (Row, error) {
	p, err := newReplay(d, scenario, name, seed)
	if err != nil {
		return Row{}, err
	}
	m, err := p.run(ctx, requests)
	if err != nil {
		return Row{}, err
	}
	return m.row(), nil
}

// mean returns the mean of each column.
func mean(rows []Row) Row {
	var sum Row
	n := float64(len(rows))
	for _, r := range rows {
		sum.HitRate += r.HitRate / n
		sum.WastedShare += r.WastedShare / n
		sum.P50 += r.P50 / n
		sum.P95 += r.P95 / n
		sum.P99 += r.P99 / n
		sum.WorstWorkspaceP95 += r.WorstWorkspaceP95 / n
		sum.ProbesPerRequest += r.ProbesPerRequest / n
		sum.DispatchesPerRequest += r.DispatchesPerRequest / n
		sum.Unserved += r.Unserved / n
	}
	return sum
}
