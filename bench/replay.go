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
	// hopSeconds is the one-way latency between two instances.
	hopSeconds = 0.001
	// probeTimeoutSeconds is how long a router waits for unanswered probes.
	probeTimeoutSeconds = 0.005
	// firstProbes is the number of probes in the first round.
	firstProbes = picker.FirstProbes
	// linkLossSeconds is the time after which a router detects a lost link.
	linkLossSeconds = 1.0
	// leaseSeconds is the time after which a lost endpoint is removed.
	leaseSeconds = 3.0
	// reportSeconds is both the interval and the delay of load reports.
	reportSeconds = 1.0
	// crashSeconds is the interval between engine crashes.
	crashSeconds = 4.0
	// lossStart and lossEnd are the seconds at which a failure domain is lost and
	// comes back.
	lossStart = workload.Seconds / 2
	lossEnd   = workload.Seconds * 3 / 4
	// reselectSeconds is the delay before a request that found no endpoint is
	// tried again.
	reselectSeconds = 0.1
	// drainSeconds is how long requests may still be served after the end of the
	// workload.
	drainSeconds = 120
)

// replay runs the recorded requests under one policy.
type replay struct {
	scheduler *fleet.Scheduler
	fleet     *policy.Fleet
	runners   []*fleet.Runner
	routers   []*router
	scenario  string
	rand      *rand.Rand
	stats     replayStats
	err       error
}

// router is one router with the state that it does not share with others.
type router struct {
	*ejector.Ejector

	budget retry.Budget
	// lostLinks holds the names of runners whose link loss has been detected.
	lostLinks map[string]bool
}

// pendingRequest is a request in progress on its router.
type pendingRequest struct {
	*workload.Request
	*router

	tried          []*boragewick.Endpoint
	retries        int
	firstSelection bool
}

func newReplay(d *workload.Deployment, scenario, name string, seed uint64) (*replay, error) {
	scheduler := fleet.NewScheduler(workload.Start)
	p := &replay{
		scheduler: scheduler,
		scenario:  scenario,
		rand:      rand.New(rand.NewPCG(seed, 4)),
		fleet: &policy.Fleet{
			Scheduler: scheduler,
			Runners:   map[string]*fleet.Runner{},
			Loads:     map[string]float64{},
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
		r := fleet.NewRunner(e, scheduler, seed*1000+uint64(i))
		p.runners = append(p.runners, r)
		p.fleet.Runners[e.Name] = r
	}
	for i := range d.Routers {
		s, err := policy.New(name, p.fleet, seed*100+uint64(i))
		if err != nil {
			return nil, err
		}
		r := &router{Ejector: &ejector.Ejector{Selector: s, Clock: scheduler}, lostLinks: map[string]bool{}}
		r.budget = retry.Budget{Clock: scheduler, Seed: seed*100 + uint64(i) + 1}
		for _, runner := range p.runners {
			r.Update(boragewick.EndpointChange{Endpoint: runner.Endpoint})
		}
		p.routers = append(p.routers, r)
	}
	return p, nil
}

// run replays all requests and returns the statistics.
func (p *replay) run(ctx context.Context, requests []workload.Request) (*replayStats, error) {
	for i := range requests {
		a := &pendingRequest{Request: &requests[i], router: p.routers[p.rand.IntN(len(p.routers))], firstSelection: true}
		p.stats.arrived(a.Request)
		p.scheduler.At(a.At.Add(time.Duration(hopSeconds*float64(time.Second))), func() { p.selectAndSend(ctx, a) })
	}
	p.scheduleLoadReports()
	p.scheduleFaults()
	p.scheduler.Run(workload.Start.Add((workload.Seconds + drainSeconds) * time.Second))
	p.stats.probes = p.fleet.Probes.Load()
	return &p.stats, p.err
}

// selectAndSend selects candidates and sends the request to the first one after
// the time that probing takes. Without a candidate, it tries again later.
func (p *replay) selectAndSend(ctx context.Context, a *pendingRequest) {
	if ctx.Err() != nil {
		p.err = ctx.Err()
		return
	}
	if a.firstSelection {
		a.budget.AddRequest(a.Workspace)
		a.firstSelection = false
	}
	probes, timeouts := p.fleet.Probes.Load(), p.fleet.Timeouts.Load()
	got, err := a.Select(ctx, boragewick.Selection{
		Workspace:    a.Workspace,
		Pool:         "models",
		Kind:         boragewick.EndpointModel,
		Blocks:       a.Blocks,
		PromptTokens: a.PromptTokens,
		Avoid: func(name string) bool {
			return a.lostLinks[name] || slices.ContainsFunc(a.tried, func(e *boragewick.Endpoint) bool { return e.Name == name })
		},
	})
	if err != nil {
		a.tried = nil
		p.scheduler.After(reselectSeconds, func() { p.selectAndSend(ctx, a) })
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
	p.scheduler.After(seconds+hopSeconds, func() { p.send(ctx, a, got) })
}

// send dispatches the request to the first candidate. If the runner refuses it,
// the next candidate is tried; if the runner is lost, the request is retried.
func (p *replay) send(ctx context.Context, a *pendingRequest, candidates []boragewick.Candidate) {
	e := candidates[0].Endpoint
	r := p.fleet.Runners[e.Name]
	a.tried = append(a.tried, e)
	p.stats.dispatched(a.Request)
	if r.Unreachable {
		p.scheduler.After(linkLossSeconds, func() { p.retry(ctx, a, e, boragewick.ErrLinkLost) })
		return
	}
	sent := r.Send(&fleet.Job{
		Workspace:    a.Workspace,
		Blocks:       a.Blocks,
		PromptTokens: a.PromptTokens,
		OutputTokens: a.OutputTokens,
		Started:      func(matched int) { p.stats.prefilled(a.Request, matched, p.longestMatch(a.Request)) },
		FirstToken:   func() { p.handleFirstToken(ctx, a, r) },
		Failed: func() {
			p.scheduler.After(hopSeconds, func() { p.retry(ctx, a, e, boragewick.ErrEndpointFailed) })
		},
	})
	if sent {
		return
	}
	p.scheduler.After(2*hopSeconds, func() {
		rest := retry.PreferOtherDomains(candidates, a.tried...)
		if len(rest) == 0 {
			p.selectAndSend(ctx, a)
			return
		}
		p.send(ctx, a, rest)
	})
}

// handleFirstToken records the first token. If the runner is lost, the token is
// lost too and the request is retried once the lost link has been detected.
func (p *replay) handleFirstToken(ctx context.Context, a *pendingRequest, r *fleet.Runner) {
	if r.Unreachable {
		known := workload.Start.Add((lossStart + linkLossSeconds) * time.Second)
		if known.Before(p.scheduler.Now()) {
			known = p.scheduler.Now()
		}
		e := r.Endpoint
		p.scheduler.At(known, func() { p.retry(ctx, a, &e, boragewick.ErrLinkLost) })
		return
	}
	a.Report(boragewick.DispatchReport{Endpoint: r.Endpoint.Name, Incarnation: r.Endpoint.Incarnation})
	p.stats.firstToken(a.Request, p.scheduler.Now().Sub(a.At).Seconds()+2*hopSeconds)
}

// retry reports the failed dispatch and retries the request if the retry budget
// allows it.
func (p *replay) retry(ctx context.Context, a *pendingRequest, e *boragewick.Endpoint, err error) {
	a.Report(boragewick.DispatchReport{Endpoint: e.Name, Incarnation: e.Incarnation, Err: err})
	a.retries++
	at, ok := a.budget.TakeRetry(a.Workspace, a.retries)
	if !ok {
		p.stats.refused(a.Request)
		return
	}
	p.scheduler.At(at, func() { p.selectAndSend(ctx, a) })
}

// longestMatch returns the highest number of leading blocks cached on any running
// engine of the fleet.
func (p *replay) longestMatch(r *workload.Request) int {
	n := 0
	for _, runner := range p.runners {
		if !runner.Down() {
			n = max(n, runner.Matched(r.Blocks))
		}
	}
	return n
}

// scheduleLoadReports delivers the current loads after reportSeconds and
// schedules the next load report.
func (p *replay) scheduleLoadReports() {
	loads := make(map[string]float64, len(p.runners))
	for _, r := range p.runners {
		loads[r.Endpoint.Name] = float64(r.Queued())
	}
	at := p.scheduler.Now()
	p.scheduler.After(reportSeconds, func() {
		p.fleet.Loads = loads
		p.fleet.ReportedAt = at
		p.scheduleLoadReports()
	})
}

// scheduleFaults schedules the crashes or the domain loss of the scenario.
func (p *replay) scheduleFaults() {
	switch p.scenario {
	case workload.EngineCrash:
		for s := crashSeconds; s < workload.Seconds; s += crashSeconds {
			r := p.runners[p.rand.IntN(len(p.runners))]
			p.scheduler.After(s, func() {
				if !r.Down() {
					r.Crash()
				}
			})
		}
	case workload.DomainLost:
		domain := p.runners[p.rand.IntN(len(p.runners))].Endpoint.FailureDomain
		p.scheduler.After(lossStart, func() { p.forEachInDomain(domain, func(r *fleet.Runner) { r.Unreachable = true }) })
		p.scheduler.After(lossStart+linkLossSeconds, func() { p.forEachInDomain(domain, p.markLinkLost) })
		p.scheduler.After(lossStart+leaseSeconds, func() { p.forEachInDomain(domain, func(r *fleet.Runner) { p.updateRouters(r, true) }) })
		p.scheduler.After(lossEnd, func() { p.forEachInDomain(domain, p.restore) })
	}
}

func (p *replay) forEachInDomain(domain string, f func(*fleet.Runner)) {
	for _, r := range p.runners {
		if r.Endpoint.FailureDomain == domain {
			f(r)
		}
	}
}

// markLinkLost marks the link to a runner as lost on all routers.
func (p *replay) markLinkLost(r *fleet.Runner) {
	for _, router := range p.routers {
		router.lostLinks[r.Endpoint.Name] = true
	}
}

// restore makes a lost runner reachable again as a new incarnation, whose engine
// restarts with an empty cache.
func (p *replay) restore(r *fleet.Runner) {
	r.Unreachable = false
	r.Crash()
	r.Endpoint.Incarnation = "2"
	for _, router := range p.routers {
		delete(router.lostLinks, r.Endpoint.Name)
	}
	p.updateRouters(r, false)
}

func (p *replay) updateRouters(r *fleet.Runner, gone bool) {
	for _, router := range p.routers {
		router.Update(boragewick.EndpointChange{Endpoint: r.Endpoint, Removed: gone})
	}
}
