package weights

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// callDueEngines orders loads at the engines whose agents report that nothing runs, and
// starts calls to the others whose next call is due. At most limit engines load at the same
// time.
func (u *Upgrader) callDueEngines(ctx context.Context, now time.Time, limit int) {
	loading := 0
	for _, j := range u.jobs {
		if j.ordered || j.ordering {
			loading++
		}
	}
	for _, j := range u.oldestJobs() {
		if j.callInFlight {
			continue
		}
		mayOrder := !j.ordered && loading < limit
		report, ready := u.isReadyForOrder(j, now)
		switch {
		case !j.ordered && ready:
			u.recordDrain(j, now)
			if mayOrder {
				u.orderByAgent(ctx, j, report.orders)
				loading++
			}
			continue
		case now.Before(j.nextCallAt), !j.ordered && u.isDraining(j, now):
			continue
		}
		if mayOrder {
			loading++
		}
		j.callInFlight = true
		go u.call(ctx, *j, mayOrder, now.Sub(j.createdAt), u.term, u.results)
	}
	u.freeLoads = limit - loading
}

// oldestJobs returns the jobs in the order in which their engines were taken out of service,
// so that none waits for those that came later.
func (u *Upgrader) oldestJobs() []*job {
	return slices.SortedFunc(maps.Values(u.jobs), func(a, b *job) int {
		return cmp.Or(a.createdAt.Compare(b.createdAt), strings.Compare(a.endpoint.Name, b.endpoint.Name))
	})
}

// isDraining reports whether the engine's agent reports, so that its engine need not be
// asked before the drain times out.
func (u *Upgrader) isDraining(j *job, now time.Time) bool {
	_, ok := u.agent(j.endpoint.Name)
	return ok && !now.After(j.createdAt.Add(drainTimeout))
}

// orderByAgent orders the load at an engine whose agent reports that nothing runs there and
// how many orders it has accepted.
func (u *Upgrader) orderByAgent(ctx context.Context, j *job, after uint64) {
	j.callInFlight, j.ordering = true, true
	o := u.newOrder(j, boragewick.LoadWait, after, u.term)
	go func(results chan<- result) {
		r := result{endpoint: o.Endpoint, term: o.Fence, reported: true}
		if u.leads(o.Fence) {
			u.order(ctx, o, &r)
		}
		results <- r
	}(u.results)
}

// newOrder returns the order of the job's load.
func (u *Upgrader) newOrder(j *job, method boragewick.LoadMethod, after, term uint64) *boragewick.LoadOrder {
	return &boragewick.LoadOrder{
		Endpoint: j.endpoint.Name,
		Addr:     j.endpoint.Addr,
		Model:    j.model,
		Version:  j.version,
		Method:   method,
		Holder:   u.Holder,
		Fence:    term,
		After:    after,
	}
}

// order sends the order and records its result.
func (u *Upgrader) order(ctx context.Context, o *boragewick.LoadOrder, r *result) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.ordered, r.orderedAt = true, u.Clock.Now()
	r.err = u.Loader.Load(ctx, o)
}

// call asks one engine for its state and orders the load once no requests run, or
// under those that still run once the drain has timed out. drained is how long the
// engine has been out of service.
func (u *Upgrader) call(ctx context.Context, j job, mayOrder bool, drained time.Duration, term uint64, results chan<- result) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := result{endpoint: j.endpoint.Name, term: term, ordered: j.ordered}
	report, err := u.Loader.Report(ctx, j.endpoint.Name, j.endpoint.Addr)
	if err != nil {
		r.err = err
		results <- r
		return
	}
	r.reported = true
	r.loaded = report.Weights[j.model]
	method := boragewick.LoadWait
	idle := report.Active+report.Queued == 0 && drained >= reportLag
	if !idle {
		method = boragewick.LoadRetain
	}
	retry := j.ordered && !report.Busy // the order was lost or has not been executed
	if r.loaded < j.version && (mayOrder && (idle || drained > drainTimeout) || retry) && !report.Busy && u.leads(term) {
		u.order(ctx, u.newOrder(&j, method, report.Orders, term), &r)
	}
	results <- r
}

// leads reports whether this replica still leads in the term.
func (u *Upgrader) leads(term uint64) bool {
	st := u.Log.Status()
	return st.Leading && st.Term == term && u.Clock.Now().Before(st.LeaseUntil)
}

// handleResult updates the job of an engine after a call.
func (u *Upgrader) handleResult(r result) {
	j := u.jobs[r.endpoint]
	if j == nil || r.term != u.term {
		return
	}
	now := u.Clock.Now()
	j.callInFlight, j.ordering = false, false
	j.nextCallAt = now.Add(reportInterval)
	agent, reporting := u.agent(r.endpoint)
	if r.ordered && !j.ordered {
		j.orderedAt = r.orderedAt
		j.nextCallAt = now.Add(u.firstReport(reporting))
	} else if !r.orderedAt.IsZero() {
		j.orderedAt = time.Time{}
	}
	if r.err != nil {
		_ = level.Warn(u.Logger).Log("msg", "call to engine failed", "endpoint", r.endpoint, "ordered", r.ordered, "err", r.err)
	} else if r.ordered && !j.ordered {
		_ = level.Info(u.Logger).Log("msg", "engine ordered to load", "endpoint", r.endpoint, "model", j.model,
			"version", j.version, "term", r.term)
	}
	if errors.Is(r.err, boragewick.ErrFenced) {
		u.earliestOrder = now.Add(u.OrderLease)
	}
	j.ordered = r.ordered
	switch {
	case r.err == nil:
		j.failures = 0
	case errors.Is(r.err, boragewick.ErrOverloaded):
		// An order is in progress that the report doesn't show yet.
		j.nextCallAt = now.Add(reportLag)
	default:
		j.failures++
	}
	// An order without an answer may be carried out seconds later, whether or not the engine
	// stays out of service, so others must not wait for it unless the agent shows that it is
	// being carried out.
	unanswered := r.reported && r.err != nil && !errors.IsAny(r.err, boragewick.ErrOverloaded, boragewick.ErrFenced)
	inProgress := reporting && agent.busy
	if j.failures >= maxCallFailures || unanswered && !inProgress {
		u.endJob(j)
		u.unreachableUntil[r.endpoint] = now.Add(retryAfter)
		u.sendDirective()
		return
	}
	if r.loaded < j.version {
		return
	}
	u.finish(j, r.loaded)
	u.sendDirective()
}

// finish ends the job of an engine that has the version, or has it go on with a version that
// was named meanwhile.
func (u *Upgrader) finish(j *job, version uint64) {
	now := u.Clock.Now()
	u.recordLoaded(j, version)
	u.recordLoadTime(j, now)
	if u.orderAgain(j, version, now) {
		return
	}
	u.endJob(j)
	_ = level.Info(u.Logger).Log("msg", "engine back in service", "endpoint", j.endpoint.Name, "model", j.model,
		"version", version, "took_ms", now.Sub(j.createdAt).Milliseconds())
}

// orderAgain makes the job that of a newer version, if one was named during the load, and
// reports whether it did. The engine is still out of service and need not be drained again.
// It does so once for each job, since otherwise versions that are named faster than they
// load would keep the same few engines out of service for ever.
func (u *Upgrader) orderAgain(j *job, version uint64, now time.Time) bool {
	state, _ := u.Registry.State()
	newest := state.Weights[j.model]
	if !j.ordered || j.again || version >= newest {
		return false
	}
	u.countOut(j)
	j.version, j.again, j.countedAt = newest, true, now
	j.ordered, j.orderedAt, j.nextCallAt = false, time.Time{}, now
	_ = level.Info(u.Logger).Log("msg", "engine to be ordered again", "endpoint", j.endpoint.Name, "model", j.model,
		"has", version, "version", newest, "term", u.term)
	return true
}
