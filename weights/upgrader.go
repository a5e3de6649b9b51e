// Package weights brings engines to the named versions of their weights. The
// leader takes a few engines at a time out of service, lets their requests
// finish and orders the load.
package weights

import (
	"cmp"
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/registry"
	"github.com/boragewick/boragewick/rollout"
)

const (
	// stepEvery is how often the next step is looked for.
	stepEvery = 60 * time.Millisecond
	// reportEvery is how often an engine is asked for its state.
	reportEvery = 80 * time.Millisecond
	// spreadTime is how long a directive takes to reach all routers.
	spreadTime = 120 * time.Millisecond
	// drainPatience is how long requests may run on before the load is ordered
	// all the same. Routers move runs away in less; the engine then waits for
	// those that remain and refuses what has not begun.
	drainPatience = 700 * time.Millisecond
	// maxCalls is the number of failed calls in a row after which an engine is
	// left alone for as long as retryAfter.
	maxCalls   = 2
	retryAfter = 2 * time.Second
	// callTimeout bounds one call to an engine.
	callTimeout = time.Second
	// loadShare is the reciprocal of the share of a pool that is taken out of
	// service at once.
	loadShare = 6
	// drainingPerLoad is the number of engines out of service for each one that
	// may load.
	drainingPerLoad = 1.34
	// firstLook is how long after its order an engine is looked at, as no load
	// takes less.
	firstLook = 700 * time.Millisecond
)

// Upgrader orders loads while its replica leads. Its fields are set before Run.
type Upgrader struct {
	// Holder names this replica in orders.
	Holder    string
	Log       boragewick.Log
	Registry  *registry.Registry
	Directory *discovery.Directory
	Loader    boragewick.Loader
	// Direct makes a directive known to the routers.
	Direct func(*boragewick.Directive)
	Clock  boragewick.Clock
	Logger log.Logger
	// OrderLease is how long the orders of two leaders must be apart.
	OrderLease time.Duration

	jobs   map[string]*job
	loaded map[string]load
	// unreachable tells until when engines are left alone.
	unreachable map[string]time.Time
	results     chan result
	number      uint64
	term        uint64
	// from is when this leader may give its first order.
	from time.Time
}

// job is the upgrade of one engine.
type job struct {
	endpoint boragewick.Registration
	model    string
	version  uint64
	begun    time.Time
	// ordered tells that the order may have been accepted.
	ordered bool
	busy    bool
	// failures counts the failed calls in a row.
	failures int
	nextAt   time.Time
}

// load is the version that a run of an engine was seen to have.
type load struct {
	started int64
	model   string
	version uint64
}

// result is how a call to an engine ended.
type result struct {
	endpoint string
	term     uint64
	// loaded is the version that the engine has; zero if it isn't known.
	loaded  uint64
	ordered bool
	err     error
}

// Run takes steps until ctx is done.
func (u *Upgrader) Run(ctx context.Context) error {
	u.reset()
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-u.results:
			u.take(r)
		case <-ticker.C:
			u.step(ctx)
		}
	}
}

// reset forgets all jobs.
func (u *Upgrader) reset() {
	u.jobs = map[string]*job{}
	u.loaded = map[string]load{}
	u.unreachable = map[string]time.Time{}
	u.results = make(chan result, 64)
	u.term = 0
}

// step starts what can be started now.
func (u *Upgrader) step(ctx context.Context) {
	now := u.Clock.Now()
	st := u.Log.Status()
	state, _ := u.Registry.State()
	if !st.Leading || !now.Before(st.LeaseUntil) {
		if u.term != 0 {
			u.reset()
		}
		return
	}
	if u.term != st.Term {
		u.reset()
		u.term = st.Term
		u.from = now
		if len(state.Weights) > 0 {
			u.from = now.Add(u.OrderLease)
		}
	}
	endpoints := u.endpoints(now)
	u.drop(endpoints, state.Weights)
	if now.Before(u.from) {
		return
	}
	changed := u.begin(now, endpoints, state.Weights)
	if changed {
		u.direct()
	}
	u.advance(ctx, now)
}

// endpoints returns the engines by name, with the versions that were seen in
// reports since their last heartbeat.
func (u *Upgrader) endpoints(now time.Time) map[string]boragewick.Registration {
	all := map[string]boragewick.Registration{}
	for _, r := range u.Directory.Endpoints() {
		if len(r.Weights) > 0 && !r.Silent && !r.Leaving && !now.Before(u.unreachable[r.Name]) {
			if j := u.loaded[r.Name]; j.started == r.Started {
				r.Weights = map[string]uint64{j.model: max(j.version, r.Weights[j.model])}
			}
			all[r.Name] = r
		}
	}
	return all
}

// drop ends the jobs of engines that are gone, have restarted or need another
// version now.
func (u *Upgrader) drop(endpoints map[string]boragewick.Registration, named map[string]uint64) {
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
		delete(u.jobs, name)
		changed = true
	}
	for name, l := range u.loaded {
		if r, ok := endpoints[name]; !ok || r.Started != l.started {
			delete(u.loaded, name)
		}
	}
	if changed {
		u.direct()
	}
}

// begin takes engines out of service that the plan chooses.
func (u *Upgrader) begin(now time.Time, endpoints map[string]boragewick.Registration, named map[string]uint64) bool {
	changed := false
	for model, version := range named {
		fleet := u.fleet(now, endpoints, model, version)
		for _, o := range (rollout.Planner{}).Next(fleet).Orders {
			r := endpoints[o.Endpoint]
			u.jobs[r.Name] = &job{endpoint: r, model: model, version: version, begun: now, nextAt: now.Add(spreadTime)}
			changed = true
			_ = level.Info(u.Logger).Log("msg", "engine taken out of service", "endpoint", r.Name, "model", model,
				"has", r.Weights[model], "version", version, "term", u.term)
		}
	}
	return changed
}

// fleet describes the engines of the model to the planner.
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
	f.LoadLimit = max(1, int(float64(loadsAtOnce(total))*drainingPerLoad))
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

// loadsAtOnce returns how many of the engines may load at once.
func loadsAtOnce(engines int) int {
	return (engines + loadShare - 1) / loadShare
}

// advance calls the engines whose turn it is.
func (u *Upgrader) advance(ctx context.Context, now time.Time) {
	loading := 0
	for _, j := range u.jobs {
		if j.ordered {
			loading++
		}
	}
	limit := loadsAtOnce(len(u.endpoints(now)))
	for _, j := range u.jobs {
		if j.busy || now.Before(j.nextAt) {
			continue
		}
		mayOrder := j.ordered || loading < limit
		if mayOrder && !j.ordered {
			loading++
		}
		j.busy = true
		go u.call(ctx, *j, mayOrder && !j.ordered, now.Sub(j.begun) > drainPatience, u.term, u.results)
	}
}

// call asks one engine for its state and orders the load once nothing runs.
func (u *Upgrader) call(ctx context.Context, j job, mayOrder, overdue bool, term uint64, results chan<- result) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := result{endpoint: j.endpoint.Name, term: term, ordered: j.ordered}
	report, err := u.Loader.Report(ctx, j.endpoint.Name, j.endpoint.Addr)
	if err != nil {
		r.err = err
		results <- r
		return
	}
	r.loaded = report.Weights[j.model]
	idle := report.Active+report.Queued == 0 || overdue
	retry := j.ordered && !report.Busy // the order was lost or has not been carried out
	if r.loaded < j.version && (mayOrder && idle || retry) && !report.Busy {
		r.ordered = true
		r.err = u.Loader.Load(ctx, &boragewick.LoadOrder{
			Endpoint: j.endpoint.Name,
			Addr:     j.endpoint.Addr,
			Model:    j.model,
			Version:  j.version,
			Method:   boragewick.LoadWait,
			Holder:   u.Holder,
			Fence:    term,
			After:    report.Orders,
		})
	}
	results <- r
}

// take notes how a call ended.
func (u *Upgrader) take(r result) {
	j := u.jobs[r.endpoint]
	if j == nil || r.term != u.term {
		return
	}
	now := u.Clock.Now()
	j.busy = false
	j.nextAt = now.Add(reportEvery)
	if r.ordered && !j.ordered {
		j.nextAt = now.Add(firstLook)
	}
	if r.err != nil {
		_ = level.Warn(u.Logger).Log("msg", "call to engine failed", "endpoint", r.endpoint, "ordered", r.ordered, "err", r.err)
	} else if r.ordered && !j.ordered {
		_ = level.Info(u.Logger).Log("msg", "engine ordered to load", "endpoint", r.endpoint, "model", j.model,
			"version", j.version, "term", r.term)
	}
	if errors.Is(r.err, boragewick.ErrFenced) {
		u.from = now.Add(u.OrderLease)
	}
	j.ordered = r.ordered
	j.failures++
	if r.err == nil {
		j.failures = 0
	}
	if j.failures >= maxCalls {
		delete(u.jobs, r.endpoint)
		u.unreachable[r.endpoint] = now.Add(retryAfter)
		u.direct()
		return
	}
	if r.loaded < j.version {
		return
	}
	u.loaded[r.endpoint] = load{started: j.endpoint.Started, model: j.model, version: r.loaded}
	delete(u.jobs, r.endpoint)
	_ = level.Info(u.Logger).Log("msg", "engine back in service", "endpoint", r.endpoint, "model", j.model,
		"version", r.loaded, "took_ms", now.Sub(j.begun).Milliseconds())
	u.direct()
}

// direct tells the routers which engines are out of service.
func (u *Upgrader) direct() {
	u.number++
	d := &boragewick.Directive{Term: u.term, Number: u.number, Loaded: map[string]uint64{}}
	for name := range u.jobs {
		d.Loading = append(d.Loading, name)
	}
	for name, l := range u.loaded {
		d.Loaded[name] = l.version
	}
	u.Direct(d)
}
