package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/bench/fleet"
	"github.com/boragewick/boragewick/bench/policy"
	"github.com/boragewick/boragewick/bench/workload"
	"github.com/boragewick/boragewick/ejector"
	"github.com/boragewick/boragewick/picker"
	"github.com/boragewick/boragewick/retry"
)

const (
	// hopSeconds is the time of a message one way between two instances.
	hopSeconds = 0.001
	// probeTimeoutSeconds is how long a router waits for lost probes.
	probeTimeoutSeconds = 0.005
	// firstProbes is the number of probes in a first round.
	firstProbes = picker.FirstProbes
	// silentSeconds is the time after which a router knows that a link is lost.
	silentSeconds = 1.0
	// leaseSeconds is the time after which a lost endpoint is removed.
	leaseSeconds = 3.0
	// reportSeconds is the interval and the lag of load reports.
	reportSeconds = 1.0
	// crashSeconds is the interval of engine crashes.
	crashSeconds = 4.0
	// lossStart and lossEnd bound the loss of a failure domain.
	lossStart = workload.Seconds / 2
	lossEnd   = workload.Seconds * 3 / 4
	// pauseSeconds is the wait of a request that has nowhere to go.
	pauseSeconds = 0.1
	// drainSeconds is how long requests may still be served after the last one
	// has arrived.
	drainSeconds = 120
)

// replay runs the recorded requests under one policy.
type replay struct {
	agenda   *fleet.Agenda
	fleet    *policy.Fleet
	runners  []*fleet.Runner
	routers  []*router
	scenario string
	rand     *rand.Rand
	measures measures
	failed   error
}

// router is one router with what it knows by itself.
type router struct {
	*ejector.Ejector

	budget retry.Budget
	// severed are the runners whose links are known to be lost.
	severed map[string]bool
}

// attempt is one request on its way.
type attempt struct {
	*workload.Request
	*router

	tried   []*boragewick.Endpoint
	retries int
	first   bool
}

func newReplay(d *workload.Deployment, scenario, name string, seed uint64) (*replay, error) {
	agenda := fleet.NewAgenda(workload.Start)
	p := &replay{
		agenda:   agenda,
		scenario: scenario,
		rand:     rand.New(rand.NewPCG(seed, 4)),
		fleet: &policy.Fleet{
			Agenda:  agenda,
			Runners: map[string]*fleet.Runner{},
			Loads:   map[string]float64{},
		},
	}
	for i := range d.Runners {
		e := boragewick.Endpoint{
			Name:          fmt.Sprintf("runner-%d", i+1),
			Pool:          "models",
			Kind:          boragewick.EndpointModel,
			FailureDomain: fmt.Sprintf("domain-%d", i%d.Domains+1),
			Models:        []boragewick.Model{{}},
			Incarnation:   "1",
		}
		r := fleet.NewRunner(e, agenda, seed*1000+uint64(i))
		p.runners = append(p.runners, r)
		p.fleet.Runners[e.Name] = r
	}
	for i := range d.Routers {
		s, err := policy.New(name, p.fleet, seed*100+uint64(i))
		if err != nil {
			return nil, err
		}
		r := &router{Ejector: &ejector.Ejector{Selector: s, Clock: agenda}, severed: map[string]bool{}}
		r.budget = retry.Budget{Clock: agenda, Seed: seed*100 + uint64(i) + 1}
		for _, runner := range p.runners {
			r.Update(boragewick.EndpointChange{Endpoint: runner.Endpoint})
		}
		p.routers = append(p.routers, r)
	}
	return p, nil
}

// run replays the requests to the end.
func (p *replay) run(ctx context.Context, requests []workload.Request) (*measures, error) {
	for i := range requests {
		a := &attempt{Request: &requests[i], router: p.routers[p.rand.IntN(len(p.routers))], first: true}
		p.measures.arrived(a.Request)
		p.agenda.At(a.At.Add(time.Duration(hopSeconds*float64(time.Second))), func() { p.choose(ctx, a) })
	}
	p.reports()
	p.faults()
	p.agenda.Run(workload.Start.Add((workload.Seconds + drainSeconds) * time.Second))
	p.measures.probes = p.fleet.Probes.Load()
	return &p.measures, p.failed
}

// choose selects candidates and sends the request to the first one.
func (p *replay) choose(ctx context.Context, a *attempt) {
	if ctx.Err() != nil {
		p.failed = ctx.Err()
		return
	}
	if a.first {
		a.budget.Request(a.Workspace)
		a.first = false
	}
	probes, timeouts := p.fleet.Probes.Load(), p.fleet.Timeouts.Load()
	got, err := a.Select(ctx, boragewick.Selection{
		Workspace:    a.Workspace,
		Pool:         "models",
		Kind:         boragewick.EndpointModel,
		Blocks:       a.Blocks,
		PromptTokens: a.PromptTokens,
		Avoid: func(name string) bool {
			return a.severed[name] || slices.ContainsFunc(a.tried, func(e *boragewick.Endpoint) bool { return e.Name == name })
		},
	})
	if err != nil {
		a.tried = nil
		p.agenda.After(pauseSeconds, func() { p.choose(ctx, a) })
		return
	}
	seconds := 0.0
	probes = p.fleet.Probes.Load() - probes
	switch {
	case p.fleet.Timeouts.Load() > timeouts:
		seconds = probeTimeoutSeconds
	case probes > firstProbes:
		seconds = 4 * hopSeconds
	case probes > 0:
		seconds = 2 * hopSeconds
	}
	p.agenda.After(seconds+hopSeconds, func() { p.send(ctx, a, got) })
}

// send gives the request to the first candidate. A refused one goes to the
// next candidate and a lost one is retried.
func (p *replay) send(ctx context.Context, a *attempt, candidates []boragewick.Candidate) {
	e := candidates[0].Endpoint
	r := p.fleet.Runners[e.Name]
	a.tried = append(a.tried, e)
	p.measures.dispatched(a.Request)
	if r.Lost {
		p.agenda.After(silentSeconds, func() { p.retry(ctx, a, e, boragewick.ErrLinkLost) })
		return
	}
	sent := r.Send(&fleet.Job{
		Workspace:    a.Workspace,
		Blocks:       a.Blocks,
		PromptTokens: a.PromptTokens,
		OutputTokens: a.OutputTokens,
		Started:      func(matched int) { p.measures.prefilled(a.Request, matched, p.best(a.Request)) },
		FirstToken:   func() { p.answered(ctx, a, r) },
		Failed: func() {
			p.agenda.After(hopSeconds, func() { p.retry(ctx, a, e, boragewick.ErrEndpointFailed) })
		},
	})
	if sent {
		return
	}
	p.agenda.After(2*hopSeconds, func() {
		rest := retry.Order(candidates, a.tried...)
		if len(rest) == 0 {
			p.choose(ctx, a)
			return
		}
		p.send(ctx, a, rest)
	})
}

// answered takes the first token, which is lost together with the runner.
func (p *replay) answered(ctx context.Context, a *attempt, r *fleet.Runner) {
	if r.Lost {
		known := workload.Start.Add((lossStart + silentSeconds) * time.Second)
		if known.Before(p.agenda.Now()) {
			known = p.agenda.Now()
		}
		e := r.Endpoint
		p.agenda.At(known, func() { p.retry(ctx, a, &e, boragewick.ErrLinkLost) })
		return
	}
	a.Report(boragewick.DispatchReport{Endpoint: r.Endpoint.Name, Incarnation: r.Endpoint.Incarnation})
	p.measures.firstToken(a.Request, p.agenda.Now().Sub(a.At).Seconds()+2*hopSeconds)
}

// retry starts the request again as far as the budget allows.
func (p *replay) retry(ctx context.Context, a *attempt, e *boragewick.Endpoint, err error) {
	a.Report(boragewick.DispatchReport{Endpoint: e.Name, Incarnation: e.Incarnation, Err: err})
	a.retries++
	at, ok := a.budget.Retry(a.Workspace, a.retries)
	if !ok {
		p.measures.refused(a.Request)
		return
	}
	p.agenda.At(at, func() { p.choose(ctx, a) })
}

// best returns the longest match in the fleet.
func (p *replay) best(r *workload.Request) int {
	n := 0
	for _, runner := range p.runners {
		if !runner.Down() {
			n = max(n, runner.Matched(r.Blocks))
		}
	}
	return n
}

// reports sends load reports, late.
func (p *replay) reports() {
	loads := make(map[string]float64, len(p.runners))
	for _, r := range p.runners {
		loads[r.Endpoint.Name] = float64(r.Queued())
	}
	at := p.agenda.Now()
	p.agenda.After(reportSeconds, func() {
		p.fleet.Loads = loads
		p.fleet.Reported = at
		p.reports()
	})
}

// faults schedules what the scenario breaks.
func (p *replay) faults() {
	switch p.scenario {
	case workload.EngineCrash:
		for s := crashSeconds; s < workload.Seconds; s += crashSeconds {
			r := p.runners[p.rand.IntN(len(p.runners))]
			p.agenda.After(s, func() {
				if !r.Down() {
					r.Crash()
				}
			})
		}
	case workload.DomainLost:
		domain := p.runners[p.rand.IntN(len(p.runners))].Endpoint.FailureDomain
		p.agenda.After(lossStart, func() { p.each(domain, func(r *fleet.Runner) { r.Lost = true }) })
		p.agenda.After(lossStart+silentSeconds, func() { p.each(domain, p.sever) })
		p.agenda.After(lossStart+leaseSeconds, func() { p.each(domain, func(r *fleet.Runner) { p.announce(r, true) }) })
		p.agenda.After(lossEnd, func() { p.each(domain, p.restore) })
	}
}

func (p *replay) each(domain string, f func(*fleet.Runner)) {
	for _, r := range p.runners {
		if r.Endpoint.FailureDomain == domain {
			f(r)
		}
	}
}

// sever lets all routers know that a runner's link is lost.
func (p *replay) sever(r *fleet.Runner) {
	for _, router := range p.routers {
		router.severed[r.Endpoint.Name] = true
	}
}

// restore brings a lost runner back with a cold engine.
func (p *replay) restore(r *fleet.Runner) {
	r.Lost = false
	r.Crash()
	r.Endpoint.Incarnation = "2"
	for _, router := range p.routers {
		delete(router.severed, r.Endpoint.Name)
	}
	p.announce(r, false)
}

func (p *replay) announce(r *fleet.Runner, gone bool) {
	for _, router := range p.routers {
		router.Update(boragewick.EndpointChange{Endpoint: r.Endpoint, Removed: gone})
	}
}
