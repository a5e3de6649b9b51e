// Package weights upgrades engines to the named versions of their models'
// weights. The leader takes a few engines at a time out of service, lets their
// running requests finish and orders the load.
package weights

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/registry"
	"github.com/boragewick/boragewick/rollout"
)

const (
	// stepInterval is the time between two calls of step.
	stepInterval = 60 * time.Millisecond
	// reportInterval is how often an engine being upgraded is asked for its state.
	reportInterval = 80 * time.Millisecond
	// directivePropagation is how long a directive takes to reach all routers.
	directivePropagation = 120 * time.Millisecond
	// drainTimeout is how long requests may keep an engine from being ordered to
	// load. Routers move running requests away in less time. Those that remain go on
	// with the new weights, since an engine that first lets them finish would occupy
	// one of the concurrent loads for as long as they run.
	drainTimeout = 800 * time.Millisecond
	// reportLag is how late an engine may report the requests that run, so a report
	// shows that none is left only this long after the engine was taken out of service.
	reportLag = 400 * time.Millisecond
	// maxCallFailures is the number of consecutive failed calls after which an
	// engine is skipped for retryAfter.
	maxCallFailures = 2
	retryAfter      = 2 * time.Second
	// callTimeout bounds one call to an engine, and orderTimeout the wait for the answer to
	// an order, which engines give before they carry it out.
	callTimeout  = time.Second
	orderTimeout = 300 * time.Millisecond
	// enginesPerLoad is the number of engines for each one that may load at the
	// same time.
	enginesPerLoad = 6
	// renewalsPerLease is how often a directive is renewed within OrderLease while
	// engines are out of service, so that two lost renewals have no effect.
	renewalsPerLease = 6
)

// Upgrader orders loads while its replica leads. Its fields are set before Run.
type Upgrader struct {
	// Holder identifies this replica in orders.
	Holder    string
	Log       boragewick.Log
	Registry  *registry.Registry
	Directory *discovery.Directory
	Loader    boragewick.Loader
	// SendDirective sends a directive to the routers.
	SendDirective func(*boragewick.Directive)
	Clock         boragewick.Clock
	Logger        log.Logger
	// Metrics may be nil.
	Metrics metrics.Registry
	// OrderLease is the minimum time between orders of two leaders. Routers return engines
	// to service if a directive is not renewed for as long.
	OrderLease time.Duration
	// Agents is told which engines to follow through their agents, whose updates are passed
	// to ObserveEngine. If it is nil, engines are asked for their reports.
	Agents boragewick.EndpointObserver

	agentsMu      sync.Mutex
	agents        map[string]agentReport
	agentsChanged chan struct{}
	// followed are the engines whose agents are followed, until followUntil unless there
	// are upgrades to do.
	followed      map[string]boragewick.Endpoint
	followedSince time.Time
	followUntil   time.Time

	jobs   map[string]*job
	loaded map[string]loadedWeights
	// unreachableUntil holds the time before which an engine that failed
	// repeatedly is skipped.
	unreachableUntil map[string]time.Time
	results          chan result
	directiveNumber  uint64
	// renewAt is when the directive must be renewed if engines are out of service.
	renewAt time.Time
	term    uint64
	// earliestOrder is the time before which this leader gives no orders.
	earliestOrder time.Time
	// replaced reports whether a directive of this term has replaced that of the
	// former leader, whose jobs have ended with its term.
	replaced bool
	// loadTime is the measured time from an order until the engine has the weights; zero
	// before the first load.
	loadTime time.Duration
	// outSeries are the names of the metrics of time out of service, the oldest first.
	outSeries []string
	// freeLoads is the number of engines that could have been ordered in the last step.
	freeLoads int
	// drainTime is the measured time from a directive until an engine may be ordered, for
	// those whose agents report.
	drainTime time.Duration
}

// job is the upgrade of one engine.
type job struct {
	endpoint  boragewick.Registration
	model     string
	version   uint64
	createdAt time.Time
	// ordered reports whether the engine may have accepted the order.
	ordered bool
	// again reports whether the engine has loaded a version under this job before.
	again bool
	// countedAt is when its time out of service begins that has not been counted.
	countedAt time.Time
	// drained reports whether the engine's agent has reported that it may be ordered.
	drained bool
	// orderedAt is when the order was sent; zero if there was more than one.
	orderedAt    time.Time
	callInFlight bool
	// ordering reports whether the call in flight is an order by the agent's report.
	ordering bool
	// failures counts consecutive failed calls.
	failures   int
	nextCallAt time.Time
}

// result is the result of a call to an engine.
type result struct {
	endpoint string
	term     uint64
	// loaded is the version that the engine reported; zero if it is not known.
	loaded  uint64
	ordered bool
	// orderedAt is when an order was sent by this call; zero if none was.
	orderedAt time.Time
	// reported reports whether the engine stated its state, so that err is that of an
	// order.
	reported bool
	err      error
}

// Run upgrades engines until ctx is done.
func (u *Upgrader) Run(ctx context.Context) error {
	u.reset()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	agentChanges := u.agentChanges()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-u.results:
			u.handleResult(r)
		case <-agentChanges:
			if u.agentsShowProgress() {
				u.step(ctx)
			}
		case <-ticker.C:
			u.step(ctx)
		}
	}
}

// reset discards all jobs, the versions seen, the marks of unreachable engines and
// the results of pending calls.
func (u *Upgrader) reset() {
	u.jobs = map[string]*job{}
	u.loaded = map[string]loadedWeights{}
	u.unreachableUntil = map[string]time.Time{}
	u.results = make(chan result, 64)
	u.term = 0
	u.replaced = false
}

// step updates the jobs and calls the engines that are due, if this replica
// leads.
func (u *Upgrader) step(ctx context.Context) {
	now := u.Clock.Now()
	st := u.Log.Status()
	state, _ := u.Registry.State()
	if !st.Leading || !now.Before(st.LeaseUntil) {
		u.followAgents(now, false)
		u.setOut(0)
		return
	}
	if u.term != st.Term {
		u.beginTerm(now, st.Term, len(state.Weights) > 0)
	}
	endpoints := u.availableEndpoints(now)
	u.followAgents(now, u.isUpgrading(endpoints, state.Weights))
	u.pruneJobs(endpoints, state.Weights)
	if u.endReportedJobs(state.Weights) {
		endpoints = u.availableEndpoints(now)
	}
	if now.Before(u.earliestOrder) {
		return
	}
	changed := u.startJobs(now, endpoints, state.Weights)
	if changed || !u.replaced || len(u.jobs) > 0 && !now.Before(u.renewAt) {
		u.sendDirective()
	}
	u.callDueEngines(ctx, now, maxConcurrentLoads(len(endpoints)))
}

// beginTerm discards the state of a former term and waits for OrderLease if another
// replica may have given orders since. None has if this one led the term before. named
// reports whether there is anything to order.
func (u *Upgrader) beginTerm(now time.Time, term uint64, named bool) {
	succeeds := u.term != 0 && term == u.term+1
	u.reset()
	u.term = term
	if succeeds {
		return
	}
	u.earliestOrder = now
	if named {
		u.earliestOrder = now.Add(u.OrderLease)
	}
}

// availableEndpoints returns the engines that answer and are not leaving, by name,
// with the version from reports where it is newer than that of the last heartbeat.
func (u *Upgrader) availableEndpoints(now time.Time) map[string]boragewick.Registration {
	all := map[string]boragewick.Registration{}
	state, _ := u.Registry.State()
	for _, r := range u.Directory.Endpoints() {
		if len(r.Weights) > 0 && !r.Silent && !r.Leaving && !u.isSkipped(r.Name, now) {
			if seen, ok := u.loaded[r.Name]; ok && seen.started == r.Started {
				r.Weights = newestWeights(r.Weights, seen.weights)
			}
			r.Weights = u.withReportedVersions(&r, state.Weights)
			all[r.Name] = r
		}
	}
	return all
}

// pruneJobs ends the jobs of engines that are unavailable or have restarted, gives jobs
// without an order the version that is named now, and drops the versions seen of runs that
// have ended.
func (u *Upgrader) pruneJobs(endpoints map[string]boragewick.Registration, named map[string]uint64) {
	changed := false
	for name, j := range u.jobs {
		r, ok := endpoints[name]
		if ok && r.Started == j.endpoint.Started && (j.ordered || named[j.model] == j.version) {
			continue
		}
		if ok && r.Started == j.endpoint.Started {
			j.version = named[j.model]
			continue
		}
		u.endJob(j)
		changed = true
	}
	for name, l := range u.loaded {
		if r, ok := endpoints[name]; !ok || r.Started != l.started {
			delete(u.loaded, name)
			changed = true
		}
	}
	if changed {
		u.sendDirective()
	}
}

// startJobs takes the engines out of service that the rollout planner selects.
// It reports whether there are any.
func (u *Upgrader) startJobs(now time.Time, endpoints map[string]boragewick.Registration, named map[string]uint64) bool {
	changed := false
	for model, version := range named {
		fleet := u.fleet(now, endpoints, model, version)
		for _, o := range (rollout.Planner{}).Next(fleet).Orders {
			r := endpoints[o.Endpoint]
			u.jobs[r.Name] = &job{endpoint: r, model: model, version: version, createdAt: now, countedAt: now, nextCallAt: now.Add(directivePropagation)}
			changed = true
			_ = level.Info(u.Logger).Log("msg", "engine taken out of service", "endpoint", r.Name, "model", model,
				"has", r.Weights[model], "version", version, "term", u.term)
		}
	}
	return changed
}

// fleet describes the engines of the model to the rollout planner.
func (u *Upgrader) fleet(now time.Time, endpoints map[string]boragewick.Registration, model string, version uint64) *boragewick.Fleet {
	target := boragewick.Model{Name: model, Weights: strconv.FormatUint(version, 10)}
	f := &boragewick.Fleet{Now: now, Routes: map[boragewick.ID]*boragewick.Route{}}
	f.Before = func(a, b *boragewick.Endpoint) int {
		return cmp.Compare(endpoints[a.Name].Weights[model], endpoints[b.Name].Weights[model])
	}
	pools := map[string]int{}
	for _, r := range endpoints {
		have, ok := r.Weights[model]
		if !ok {
			continue
		}
		pools[r.Pool]++
		f.Endpoints = append(f.Endpoints, boragewick.Endpoint{
			Name:          r.Name,
			Pool:          r.Pool,
			Kind:          boragewick.EndpointModel,
			FailureDomain: r.Domain,
			Incarnation:   boragewick.Incarnation(fmt.Sprint(r.Started)),
			Models:        []boragewick.Model{{Name: model, Weights: strconv.FormatUint(have, 10)}},
		})
	}
	total := 0
	for pool, n := range pools {
		id := boragewick.ID(pool)
		f.Routes[id] = &boragewick.Route{Model: model, Pool: pool, Weights: target.Weights}
		f.Rollouts = append(f.Rollouts, boragewick.Rollout{Route: id, Target: target})
		total += n
	}
	f.LoadLimit = u.maxJobs(now, maxConcurrentLoads(total))
	for _, j := range u.jobs {
		f.Open = append(f.Open, boragewick.Order{
			Endpoint: j.endpoint.Name,
			Kind:     boragewick.OrderLoad,
			Model:    target,
			Deadline: now.Add(time.Minute),
		})
	}
	return f
}

// maxConcurrentLoads returns how many of the engines may load at the same time.
func maxConcurrentLoads(engines int) int {
	return (engines + enginesPerLoad - 1) / enginesPerLoad
}

// sendDirective tells the routers which engines are out of service and which
// versions the others reported after their upgrade.
func (u *Upgrader) sendDirective() {
	u.replaced = true
	u.setOut(len(u.jobs))
	u.renewAt = u.Clock.Now().Add(u.OrderLease / renewalsPerLease)
	u.directiveNumber++
	d := &boragewick.Directive{Term: u.term, Number: u.directiveNumber, Loaded: map[string]map[string]uint64{}}
	for name := range u.jobs {
		d.Loading = append(d.Loading, name)
	}
	for name, l := range u.loaded {
		d.Loaded[name] = l.weights
	}
	u.SendDirective(d)
}
