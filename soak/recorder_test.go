package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the deployment under test that the checks enforce. Some of them are
// written to the settings of the processes.
const (
	contactTimeout    = 3 * time.Second
	gracePeriod       = 8 * time.Second
	applyTimeout      = 2 * time.Second
	recoveryTimeout   = 12 * time.Second
	weightsTimeout    = 10 * time.Second
	handoverTimeout   = 400 * time.Millisecond
	rateWindow        = 8 * time.Second
	rateTolerance     = 0.1
	rateSlack         = 3000
	retryWindow       = 10 * time.Second
	retryFraction     = 0.2
	retryBurst        = 60
	heartbeatInterval = 300 * time.Millisecond
)

// request is a request sent by a caller.
type request struct {
	id, path, tenant, body string
	route                  *route
	tokens                 int
	sent                   time.Time
	runs                   []*run
	arrivals               []time.Time
	refusedStatus          int
	router                 int
	// prompt is the header with the parts of the prompt. resumes is the request that brought
	// the first event of the stream, after from events of which this one takes it up.
	prompt, resumes string
	from            int
	// events is how many events of the stream the caller has, and software is the version
	// that wrote the first one.
	events, software int
	// crashPart is the crashing part of the prompt, if any.
	crashPart *crashPart
	// beforeCrashParts and besideCrashPart tell the sample of the request.
	beforeCrashParts, besideCrashPart bool
	// abandoned requests are given up early by their callers, limited ones have a rate,
	// and those overRate were refused for it.
	abandoned, limited, overRate bool
	// unread is set for streams that their callers stop reading. padding is the number of bytes
	// by which each event of the stream is longer.
	unread  bool
	padding int
}

// run is the execution of a request on an endpoint.
type run struct {
	endpoint string
	began    time.Time
	ended    time.Time
	crashed  bool
	goesOn   bool // from a copy of the KV cache of an earlier one
	seal     string
	body     string
}

// recorder collects the observations of callers, operators and endpoints, and
// the violations of invariants found in them.
type recorder struct {
	mu           sync.Mutex
	start        time.Time
	requests     map[string]*request
	violations   []string
	counts       map[string]int
	ackedConfig  int
	ackedAt      map[int]time.Time
	sentDocs     map[int][]string
	readDocs     map[int]int // index into sentDocs of the document read back
	namedWeights int         // newest weights version sent
	ackedWeights int         // newest weights version acknowledged
	// weightsAckedAt is when versions of the weights were acknowledged.
	weightsAckedAt map[int]time.Time
	orderHolders   map[string]map[uint64]string
	// activeFaults and activeChanges count the faults and the planned changes in
	// progress; faultEnd and changeEnd are when the last of each ended.
	activeFaults, activeChanges int
	changeEnd, faultEnd         time.Time
	// crashing counts the crashing parts in use as faults of their own.
	crashing       span
	crashParts     []*crashPart
	crashPartCount int
	disturbances   map[string]*span
	// manyMoves is set once weights have changed in quick succession. Runs that go on from a copy
	// then count as the same run, as the platform has it.
	manyMoves bool
	// newStreams and takenUp count streams that may be resumed, new ones and ones taken up.
	newStreams, takenUp sample
}

func newRecorder() *recorder {
	return &recorder{
		start: time.Now(), requests: map[string]*request{}, counts: map[string]int{}, ackedAt: map[int]time.Time{},
		sentDocs: map[int][]string{}, readDocs: map[int]int{}, namedWeights: 1, orderHolders: map[string]map[uint64]string{},
		disturbances: map[string]*span{}, weightsAckedAt: map[int]time.Time{},
	}
}

// addViolation records a violated invariant.
func (rec *recorder) addViolation(invariant, format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.addViolationLocked(invariant, format, args...)
}

func (rec *recorder) addViolationLocked(invariant, format string, args ...any) {
	rec.violations = append(rec.violations, fmt.Sprintf("%6.2fs %s: %s", time.Since(rec.start).Seconds(), invariant, fmt.Sprintf(format, args...)))
}

// beginFault counts a fault as active until the returned function is called.
func (rec *recorder) beginFault() (end func()) { return rec.track(&rec.activeFaults, &rec.faultEnd) }

// beginChange counts a planned change as in progress until the returned function
// is called.
func (rec *recorder) beginChange() (end func()) { return rec.track(&rec.activeChanges, &rec.changeEnd) }

// beginCrashing counts a crashing part as a fault until the returned function is
// called.
func (rec *recorder) beginCrashing() (end func()) {
	return rec.track(&rec.crashing.active, &rec.crashing.ended)
}

func (rec *recorder) track(active *int, ended *time.Time) func() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	*active++
	return func() {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		*active--
		*ended = time.Now()
	}
}

// noFaultSince reports whether no fault has been active since t.
func (rec *recorder) noFaultSince(t time.Time) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.otherFaultsQuietLocked(t) && rec.crashing.quietSince(t)
}

// undisturbedSince reports whether neither a fault nor a planned change has been
// active since t.
func (rec *recorder) undisturbedSince(t time.Time) bool {
	noFault := rec.noFaultSince(t)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return noFault && rec.activeChanges == 0 && rec.changeEnd.Before(t)
}

func (rec *recorder) count(name string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts[name]++
}

func (rec *recorder) recordSent(req *request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req.sent = time.Now()
	rec.requests[req.id] = req
	rec.sampleLocked(req)
}

// recordArrival records that a request reached an endpoint of the pool.
func (rec *recorder) recordArrival(id, pool, path, tenant, body string) *request {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req := rec.requests[id]
	switch {
	case req == nil:
		rec.addViolationLocked("UNASKED", "%q was never sent", id)
		return nil
	case req.path != path || req.body != body:
		rec.addViolationLocked("UNASKED", "%s arrived as %s with %d bytes, but was sent as %s with %d", id, path, len(body), req.path, len(req.body))
	case req.tenant != tenant:
		rec.addViolationLocked("UNASKED", "%s of workspace %s arrived for workspace %q", id, req.tenant, tenant)
	case req.route.pool != pool:
		rec.addViolationLocked("ROUTE", "%s for pool %s arrived at pool %s", id, req.route.pool, pool)
	}
	req.arrivals = append(req.arrivals, time.Now())
	rec.checkLateArrivalLocked(req)
	return req
}

// recordStart records that an endpoint starts to execute a request. Resuming from
// transferred KV cache continues the same run.
func (rec *recorder) recordStart(req *request, endpoint string, weights int, resumed bool) *run {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := &run{endpoint: endpoint, began: time.Now(), goesOn: resumed}
	for _, earlier := range req.runs {
		switch {
		case !req.route.repeatable && !resumed:
			rec.addViolationLocked("TWICE", "%s started at %s and had already run at %s", req.id, endpoint, earlier.endpoint)
		case resumed && earlier.ended.IsZero():
			time.AfterFunc(handoverTimeout, func() { rec.checkHandover(req, earlier, endpoint) })
		}
	}
	if req.refusedStatus > 0 && !req.route.repeatable {
		rec.addViolationLocked("REFUSED", "%s was answered %d and then started at %s", req.id, req.refusedStatus, endpoint)
	}
	rec.checkWeightsLocked(req, endpoint, weights)
	req.runs = append(req.runs, r)
	return r
}

// checkHandover checks that a run that was resumed elsewhere has ended.
func (rec *recorder) checkHandover(req *request, earlier *run, endpoint string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if earlier.ended.IsZero() {
		rec.addViolationLocked("TWICE", "%s was resumed at %s and still runs at %s", req.id, endpoint, earlier.endpoint)
	}
}

// recordEnd records that a run has ended, and whether its endpoint crashed under it.
func (rec *recorder) recordEnd(r *run, crashed bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.ended = time.Now()
	r.crashed = crashed
}

// recordRefusal records an answer which states that the request was not executed.
func (rec *recorder) recordRefusal(req *request, status int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req.refusedStatus = status
	req.overRate = status == http.StatusTooManyRequests && req.limited
	if req.crashPart != nil {
		rec.counts["refused with a crashing part"]++
	}
	if len(req.runs) > 0 && !req.route.repeatable {
		rec.addViolationLocked("REFUSED", "%s ran at %s and was answered %d", req.id, req.runs[0].endpoint, status)
	}
}

// recordOrder records an accepted order.
func (rec *recorder) recordOrder(endpoint, holder string, fence uint64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.orderHolders[endpoint] == nil {
		rec.orderHolders[endpoint] = map[uint64]string{}
	}
	if other, ok := rec.orderHolders[endpoint][fence]; ok && other != holder {
		rec.addViolationLocked("ONE", "%s and %s both gave orders to %s with fence %d", other, holder, endpoint, fence)
	}
	rec.orderHolders[endpoint][fence] = holder
}

// checkTotals checks the invariants that can only be evaluated at the end.
func (rec *recorder) checkTotals() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	overLimit := 0
	for _, req := range rec.requests {
		runs := 0
		for _, r := range req.runs {
			if !r.crashed && (!r.goesOn || !rec.manyMoves) {
				runs++
			}
		}
		if runs > req.route.attempts {
			overLimit++
		}
	}
	if overLimit > 3 {
		rec.addViolationLocked("BUDGET", "%d requests ran more often than their route allows", overLimit)
	}
	rec.checkRates()
	rec.checkRetries()
	rec.checkSamples()
	rec.checkTakenUpLocked()
}

// checkRates compares the tokens of executed requests in any window with the rate.
func (rec *recorder) checkRates() {
	for _, t := range tenants {
		if t.rate == 0 {
			continue
		}
		var executed []*request
		for _, req := range rec.requests {
			if req.tenant == t.name && len(req.runs) > 0 {
				executed = append(executed, req)
			}
		}
		slices.SortFunc(executed, func(x, y *request) int { return x.sent.Compare(y.sent) })
		bound := (t.rate*rateWindow.Seconds()+t.rate)*(1+rateTolerance) + rateSlack
		sum, from := 0, 0
		for _, req := range executed {
			for sum += req.tokens; req.sent.Sub(executed[from].sent) > rateWindow; from++ {
				sum -= executed[from].tokens
			}
			if float64(sum) > bound {
				rec.addViolationLocked("QUOTA", "%s ran %d tokens within %s; the limit is %.0f", t.name, sum, rateWindow, bound)
				break
			}
		}
	}
}

// checkRetries compares the arrivals beyond the first of each request in any
// window with the retry budget.
func (rec *recorder) checkRetries() {
	for _, pool := range []string{modelPool, plainPool} {
		var sent, retries []time.Time
		for _, req := range rec.requests {
			if req.route.pool != pool {
				continue
			}
			sent = append(sent, req.sent)
			if len(req.arrivals) > 1 {
				retries = append(retries, req.arrivals[1:]...)
			}
		}
		slices.SortFunc(retries, time.Time.Compare)
		countFrom := func(from time.Time) (k int) {
			for _, at := range sent {
				if d := at.Sub(from); d >= 0 && d < retryWindow {
					k++
				}
			}
			return k
		}
		from := 0
		for i, at := range retries {
			for at.Sub(retries[from]) > retryWindow {
				from++
			}
			if i+1-from <= retryBurst {
				continue
			}
			start := retries[from]
			sentCount := max(countFrom(start), countFrom(start.Add(-retryWindow/2)), countFrom(start.Add(-retryWindow)))
			if bound := retryFraction*float64(sentCount) + retryBurst; float64(i+1-from) > bound {
				rec.addViolationLocked("BUDGET", "%s got %d retries within %s; the limit is %.0f", pool, i+1-from, retryWindow, bound)
				break
			}
		}
	}
}

// summary returns the counters for the test log.
func (rec *recorder) summary() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s := fmt.Sprintf("%d requests", len(rec.requests))
	for _, name := range slices.Sorted(maps.Keys(rec.counts)) {
		s += fmt.Sprintf(", %s %d", name, rec.counts[name])
	}
	return s + fmt.Sprintf(", configuration %d, weights %d", rec.ackedConfig, rec.ackedWeights)
}
