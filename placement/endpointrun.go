package placement

import (
	"slices"
	"strconv"
	"time"

	"github.com/boragewick/boragewick"
)

// endpointRuns are the known runs of an endpoint. Its registration may be late, go back to an earlier
// run or be removed while requests are in flight, so these outlive it.
type endpointRuns struct {
	// newest is the run that the agent has told of or that has registered since, and former are
	// those before it that have requests in flight.
	newest *endpointRun
	former []*endpointRun
	// inFlight counts the requests at all runs.
	inFlight int
	// downCh is closed while the engine doesn't answer its agent.
	downCh chan struct{}
}

// endpointRun is what is known of one run of an endpoint. Requests in flight keep it.
type endpointRun struct {
	id     boragewick.Incarnation
	status engineStatus
	// superseded reports whether what is told of the endpoint now is told of another run.
	superseded bool
	inFlight   int
	// statedLeaving reports whether an answer stated that the endpoint leaves. It
	// holds for the rest of the run, whatever the control replicas say.
	statedLeaving bool
	// departedAt is when the endpoint was first known to leave for good.
	departedAt time.Time
	// leavingCh is closed while the endpoint takes no new work.
	leavingCh chan struct{}
}

func newEndpointRun(id boragewick.Incarnation) *endpointRun {
	return &endpointRun{id: id, leavingCh: make(chan struct{})}
}

// runsOf returns the runs of an endpoint that registers.
func (p *Placement) runsOf(endpoint string, id boragewick.Incarnation) *endpointRuns {
	r := p.runs[endpoint]
	if r == nil {
		r = &endpointRuns{newest: newEndpointRun(id), downCh: make(chan struct{})}
		if p.runs == nil {
			p.runs = map[string]*endpointRuns{}
		}
		p.runs[endpoint] = r
	}
	return r
}

// forgetRuns drops the runs of an endpoint that is not registered once none has a request.
func (p *Placement) forgetRuns(endpoint string) {
	if r := p.runs[endpoint]; r != nil && r.inFlight == 0 && p.endpoints[endpoint] == nil {
		delete(p.runs, endpoint)
	}
}

// register notes that another run has registered. Heartbeats may arrive late, so a run that began
// before the one of which the agent has told does not replace it.
func (r *endpointRuns) register(id boragewick.Incarnation) {
	if r.newest.status.run != "" && isEarlier(id, r.newest.id) {
		return
	}
	r.enter(id)
}

// enter makes the run the newest one. Until its agent tells its weights they are unknown.
func (r *endpointRuns) enter(id boragewick.Incarnation) {
	if r.newest.id == id {
		return
	}
	r.newest.superseded = true
	runs := append(r.former, r.newest)
	if i := slices.IndexFunc(runs, func(e *endpointRun) bool { return e.id == id }); i >= 0 {
		r.newest = runs[i]
		r.newest.superseded, r.newest.status.incomplete = false, true
	} else {
		r.newest = newEndpointRun(id)
	}
	r.former = slices.DeleteFunc(runs, func(e *endpointRun) bool { return e == r.newest || e.inFlight == 0 })
}

// find returns the run; nil if it has no request and isn't the newest one.
func (r *endpointRuns) find(id boragewick.Incarnation) *endpointRun {
	if r.newest.id == id {
		return r.newest
	}
	if i := slices.IndexFunc(r.former, func(e *endpointRun) bool { return e.id == id }); i >= 0 {
		return r.former[i]
	}
	return nil
}

// observe applies an update of the agent, which may tell of another run than the registered one.
func (r *endpointRuns) observe(u *boragewick.EngineUpdate, registered boragewick.Incarnation, now time.Time) {
	r.setDown(u != nil && u.Down)
	if u != nil && len(u.Weights) > 0 {
		id := registered
		if u.Started != 0 {
			id = boragewick.Incarnation(strconv.FormatInt(u.Started, 10))
		}
		r.enter(id)
	}
	r.newest.status.observe(u, now)
}

// setDown signals to the requests at the engine whether it is down: it closes downCh
// when the engine goes down and replaces it when the engine is back.
func (r *endpointRuns) setDown(down bool) {
	select {
	case <-r.downCh:
		if !down {
			r.downCh = make(chan struct{})
		}
	default:
		if down {
			close(r.downCh)
		}
	}
}

// begin and end count the requests at the run.
func (r *endpointRuns) begin(e *endpointRun) {
	r.inFlight++
	e.inFlight++
}

func (r *endpointRuns) end(e *endpointRun) {
	r.inFlight--
	e.inFlight--
	if e.inFlight == 0 {
		r.former = slices.DeleteFunc(r.former, func(f *endpointRun) bool { return f == e })
	}
}

// noteDeparture records that the run leaves for good.
func (e *endpointRun) noteDeparture(now time.Time) {
	if e.departedAt.IsZero() {
		e.departedAt = now
	}
}

// signalLeaving signals to the requests at the run that it takes no new work.
func (e *endpointRun) signalLeaving() {
	select {
	case <-e.leavingCh:
	default:
		close(e.leavingCh)
	}
}

// takeWork lets requests begin at the run again that aren't told that it leaves.
func (e *endpointRun) takeWork() {
	if e.statedLeaving {
		return
	}
	e.departedAt = time.Time{}
	select {
	case <-e.leavingCh:
		e.leavingCh = make(chan struct{})
	default:
	}
}

// isEarlier reports whether the run a began before the run b, if they tell when they began.
func isEarlier(a, b boragewick.Incarnation) bool {
	m, err := strconv.ParseInt(string(a), 10, 64)
	if err != nil {
		return false
	}
	n, err := strconv.ParseInt(string(b), 10, 64)
	return err == nil && m < n
}
