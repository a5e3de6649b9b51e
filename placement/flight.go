package placement

import (
	"time"

	"github.com/boragewick/boragewick"
)

// inFlightRequest is a request that this router has sent to an endpoint.
type inFlightRequest struct {
	placement     *Placement
	endpoint      *endpointState
	runs          *endpointRuns
	run           *endpointRun
	begunAt       time.Time
	prefillTokens int
	partKeys      []uint64
	ended         bool
	leavingCh     <-chan struct{}
	// model and weights are those that the request was sent for.
	model, weights string
	timing         timing
}

// Begin records that the request is sent to the candidate. The caller must call
// End on the result.
func (p *Placement) Begin(c *boragewick.Candidate, s *boragewick.Selection) boragewick.Flight {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.endpoints[c.Endpoint.Name]
	if st == nil {
		st = &endpointState{runs: &endpointRuns{newest: newEndpointRun(c.Endpoint.Incarnation)}}
		// It has left since it was chosen.
		st.runs.newest.noteDeparture(p.now())
		st.runs.newest.signalLeaving()
	}
	run := st.runs.newest
	st.runs.begin(run)
	f := &inFlightRequest{placement: p, endpoint: st, runs: st.runs, run: run, begunAt: p.now(), prefillTokens: max(0, int(s.PromptTokens)-c.Matched), partKeys: newWeightsGroup(s, c.Weights, c.Endpoint.Build).partKeys, leavingCh: run.leavingCh, model: s.Model.Name, weights: c.Weights}
	f.timing = st.newTiming(c, s, f.begunAt)
	p.spread.addRequest(c.Endpoint.Pool, p.now())
	p.recordZone(c, s)
	st.inFlight++
	st.prefillTokens += f.prefillTokens
	if st.report != nil {
		st.report.sentRequests++
		st.report.sentTokens += f.prefillTokens
	}
	return f
}

// Answered implements boragewick.Flight.
func (f *inFlightRequest) Answered(r *boragewick.Reply) {
	f.placement.mu.Lock()
	defer f.placement.mu.Unlock()
	now := f.placement.now()
	if r.Leaving && !f.run.statedLeaving {
		f.run.statedLeaving = true
		f.run.noteDeparture(now)
		f.run.signalLeaving()
	}
	if at := now.Add(r.RetryAfter); r.RetryAfter > 0 && at.After(f.endpoint.retryAt) {
		f.endpoint.retryAt = at
	}
	f.endpoint.noteLimit(r, f.begunAt, now)
	f.timing.failed = r.NotRun || r.Failed
	if q := r.Load; q != nil {
		f.endpoint.running = max(0, q.Running-f.endpoint.inFlight)
		f.endpoint.waiting = q.Waiting
		f.endpoint.loadReportedAt = now
		f.endpoint.slots = q.Slots
		f.endpoint.pace.note(q.TimeFactor, now)
		f.placement.useRates(f.endpoint, q.TimeFactor)
	}
}

// Started records the first token: the engine has prefilled the prompt and
// cached its shared parts.
func (f *inFlightRequest) Started() {
	f.placement.mu.Lock()
	defer f.placement.mu.Unlock()
	f.endpoint.prefillTokens -= f.prefillTokens
	f.prefillTokens = 0
	now := f.placement.now()
	f.noteStart(now)
	if f.endpoint.partsLastUsed == nil {
		return
	}
	if len(f.endpoint.partsLastUsed) > maxParts {
		f.endpoint.evictParts(now)
	}
	for _, key := range f.partKeys {
		f.endpoint.partsLastUsed[key] = now
		f.placement.notePrefilled(key, now)
	}
}

// Left implements boragewick.Flight.
func (f *inFlightRequest) Left() <-chan struct{} { return f.leavingCh }

// DepartedFor implements boragewick.Flight.
func (f *inFlightRequest) DepartedFor() time.Duration {
	f.placement.mu.Lock()
	defer f.placement.mu.Unlock()
	if f.run.departedAt.IsZero() {
		return 0
	}
	return f.placement.now().Sub(f.run.departedAt)
}

// Lost implements boragewick.Flight.
func (f *inFlightRequest) Lost() <-chan struct{} {
	f.placement.mu.Lock()
	defer f.placement.mu.Unlock()
	return f.runs.downCh
}

// End records that the request has ended at the endpoint.
func (f *inFlightRequest) End() {
	f.placement.mu.Lock()
	defer f.placement.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.endpoint.prefillTokens -= f.prefillTokens
	f.prefillTokens = 0
	f.endpoint.inFlight--
	f.runs.end(f.run)
	f.placement.forgetRuns(f.endpoint.Name)
	now := f.placement.now()
	f.noteEnd(now)
	f.endpoint.connectedUntil = now.Add(connectionTTL)
}

// evictParts drops the parts last used more than partTTL ago, or all parts if
// more than maxParts remain.
func (s *endpointState) evictParts(now time.Time) {
	for key, used := range s.partsLastUsed {
		if now.Sub(used) > partTTL {
			delete(s.partsLastUsed, key)
		}
	}
	if len(s.partsLastUsed) > maxParts {
		clear(s.partsLastUsed)
	}
}
