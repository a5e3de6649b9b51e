// Package crashreport tells control replicas which prompt parts and requests were in use
// at endpoints when these crashed.
package crashreport

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

const (
	// batchWindow is how long broken requests and answers are collected before an
	// endpoint is checked or a report is sent.
	batchWindow = 20 * time.Millisecond
	// recheckDelay is how long after a successful check an endpoint is checked once
	// more, because a process that ends may close its connections before its listener.
	recheckDelay = 150 * time.Millisecond
	// checkPause is how long an endpoint that is up is not checked again. One that
	// refuses connections for load would get more of them otherwise.
	checkPause = 500 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = time.Second
	// runRetention is how long requests that break at a crashed endpoint still count
	// as part of the crash.
	runRetention = 10 * time.Second
	// evictInterval is the time between two searches for runs that have expired.
	evictInterval = 500 * time.Millisecond
	// maxRuns, maxParts and maxAnswered bound the runs of endpoints that are kept, the
	// parts of each that wait to be sent, and the answered parts that do.
	maxRuns     = 256
	maxParts    = 4096
	maxAnswered = 4096
	// answerRetention is how long it is known that a part was answered, and maxRecent
	// bounds the parts for which it is.
	answerRetention = time.Minute
	maxRecent       = 1 << 14
	// answersInterval is the time between two reports of answers. All routers get answers
	// to requests with a suspect that is much in use.
	answersInterval = 200 * time.Millisecond
	// maxLoggedRequests bounds the request IDs in a log line.
	maxLoggedRequests = 16
)

// Reporter is a boragewick.CrashObserver. It confirms that endpoints have crashed and
// sends CrashReports to all control replicas. Its fields are set before Run.
type Reporter struct {
	// Instance identifies this router.
	Instance string
	// Replicas returns the known control replicas, and Peer the link to one of them.
	Replicas func() []netip.AddrPort
	Peer     func(addr netip.AddrPort) boragewick.Peer
	// Connect returns an error if nothing accepts connections at the address.
	Connect func(ctx context.Context, addr netip.AddrPort) error
	Clock   boragewick.Clock
	Logger  log.Logger
	Metrics metrics.Registry

	mu     sync.Mutex
	wakeCh chan struct{}
	runs   map[runID]*run
	// evictAt is when expired runs are searched for again.
	evictAt  time.Time
	answered map[uint64]bool
	// answersAt is when answered parts are reported again.
	answersAt time.Time
	// answeredParts and answeredRequests hold what was answered in the last minute. They
	// are apart, as there are far more different requests than parts.
	answeredParts, answeredRequests recentAnswers
	// sending counts the reports on their way to each replica.
	sending map[netip.AddrPort]int
	// dropped counts what was dropped since it was last logged.
	dropped int64
}

var _ boragewick.CrashObserver = (*Reporter)(nil)

// runID identifies a run of an endpoint.
type runID struct {
	endpoint    string
	incarnation boragewick.Incarnation
}

// run is a run of an endpoint at which requests broke.
type run struct {
	runID
	addr netip.AddrPort
	// brokeAt is when the first of the requests broke.
	brokeAt time.Time
	// checkAt is when the run may be checked, and expires when it may be forgotten.
	checkAt  time.Time
	expires  time.Time
	checking bool
	crashed  bool
	// cause is the error of the check; nil if the endpoint was known to be down.
	cause error
	// logged reports whether the crash has been logged.
	logged bool
	// sentAt holds the parts that are not yet reported, each with when the last
	// request with it was sent.
	sentAt map[uint64]time.Time
	// uses holds the last use of each of these parts.
	uses map[uint64]use
	// answered and answeredRequests hold the parts and the requests of answers that are
	// complete if the run has not crashed, each with whether it is to be reported then.
	answered, answeredRequests map[uint64]bool
	// ids are the IDs of broken requests that are not yet logged.
	ids []boragewick.RequestID
}

// use is a request with a part: the model of the part, and its own of a model; and whether
// the part is the whole request.
type use struct {
	model, request uint64
	whole          bool
}

// clear drops what is not yet reported.
func (e *run) clear() {
	clear(e.sentAt)
	clear(e.uses)
	clear(e.answered)
	clear(e.answeredRequests)
	e.ids = nil
}

// ObserveBroken implements boragewick.CrashObserver.
func (r *Reporter) ObserveBroken(a *boragewick.BrokenAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.runOf(a)
	if e == nil {
		if !a.Answered {
			r.drop()
		}
		return
	}
	if len(e.sentAt) == 0 && !e.crashed || a.BrokeAt.Before(e.brokeAt) {
		e.brokeAt = a.BrokeAt
	}
	e.crashed = e.crashed || a.Down
	if a.Answered {
		e.addAnswered(a)
	} else if len(e.ids) < maxLoggedRequests {
		e.ids = append(e.ids, a.ID)
	}
	for _, part := range append(slices.Clip(a.Parts), a.Model, a.Request) {
		sentAt, ok := e.sentAt[part]
		switch {
		case !ok && len(e.sentAt) >= maxParts:
			r.drop()
		case a.SentAt.After(sentAt):
			e.sentAt[part] = a.SentAt
			e.uses[part] = use{model: a.Model, request: a.Variant, whole: part == a.Request}
		}
	}
	r.wake()
}

// runOf returns the run at which the attempt broke, or nil if there are too many runs;
// the caller holds mu.
func (r *Reporter) runOf(a *boragewick.BrokenAttempt) *run {
	id := runID{a.Endpoint.Name, a.Endpoint.Incarnation}
	if e := r.runs[id]; e != nil {
		return e
	}
	r.evict()
	// Answers that are to be checked leave room for requests that broke.
	if len(r.runs) >= maxRuns || a.Answered && len(r.runs) >= maxRuns/2 {
		return nil
	}
	if r.runs == nil {
		r.runs = map[runID]*run{}
	}
	e := &run{runID: id, addr: a.Endpoint.Agent, sentAt: map[uint64]time.Time{}, uses: map[uint64]use{}, answered: map[uint64]bool{}, answeredRequests: map[uint64]bool{}}
	r.runs[id] = e
	return e
}

// evict removes the runs that have expired; the caller holds mu.
func (r *Reporter) evict() {
	now := r.Clock.Now()
	if now.Before(r.evictAt) {
		return
	}
	r.evictAt = now.Add(evictInterval)
	for id, e := range r.runs {
		if now.After(e.expires) && len(e.sentAt) == 0 {
			delete(r.runs, id)
		}
	}
}

// Run checks endpoints and sends reports until ctx is done.
func (r *Reporter) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	r.mu.Lock()
	wake := r.wakeChannel()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		}
		boragewick.Sleep(ctx, batchWindow)
		checks, report := r.collect()
		for _, e := range checks {
			tasks.Go(func() { r.check(ctx, e) })
		}
		if report != nil {
			r.send(ctx, &tasks, report)
		}
	}
}

// collect returns the runs to check, which are marked as being checked, and what is to
// be reported, or nil.
func (r *Reporter) collect() ([]*run, *boragewick.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &boragewick.CrashReport{Instance: r.Instance}
	var checks []*run
	for _, e := range r.runs {
		if !e.crashed && !e.checking && len(e.sentAt) > 0 {
			e.checking = true
			checks = append(checks, e)
		}
		if e.crashed && len(e.sentAt) > 0 {
			report.Crashes = append(report.Crashes, r.take(e))
		}
	}
	r.takeAnswered(report)
	if r.dropped > 0 {
		_ = level.Warn(r.Logger).Log("msg", "crash reports dropped", "dropped", r.dropped, "runs", len(r.runs))
		r.dropped = 0
	}
	if len(report.Crashes) == 0 && len(report.Answered) == 0 {
		return checks, nil
	}
	return checks, report
}

// take returns what is not yet reported of the crashed run, and logs it; the caller
// holds mu.
func (r *Reporter) take(e *run) boragewick.EndpointCrash {
	crash := boragewick.EndpointCrash{Endpoint: e.endpoint, Incarnation: e.incarnation, At: e.brokeAt}
	for part, sentAt := range e.sentAt {
		used := e.uses[part]
		answered := r.answeredParts.before(part, e.brokeAt)
		if used.whole {
			answered = r.answeredRequests.before(part, e.brokeAt)
		}
		crash.Parts = append(crash.Parts, boragewick.SuspectPart{Key: part, SentAt: sentAt, Model: used.model, Answered: answered, Whole: used.whole, Request: used.request})
	}
	msg := "more requests of a crashed endpoint"
	if !e.logged {
		msg = "endpoint crashed"
		r.count("crashes.confirmed")
		e.expires = r.Clock.Now().Add(runRetention)
	}
	e.logged = true
	_ = level.Warn(r.Logger).Log("msg", msg, "endpoint", e.endpoint, "incarnation", e.incarnation, "addr", e.addr,
		"parts", len(crash.Parts), "requests", idList(e.ids), "age_ms", r.Clock.Now().Sub(e.brokeAt).Milliseconds(), "err", e.cause)
	e.clear()
	return crash
}

// check finds out whether the run has crashed. If it has not, its broken requests say
// nothing of their parts.
func (r *Reporter) check(ctx context.Context, e *run) {
	r.mu.Lock()
	pause := e.checkAt.Sub(r.Clock.Now())
	r.mu.Unlock()
	boragewick.Sleep(ctx, pause)
	err := r.connect(ctx, e.addr)
	if err == nil {
		boragewick.Sleep(ctx, recheckDelay)
		err = r.connect(ctx, e.addr)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.checking = false
	switch {
	case ctx.Err() != nil:
	case err != nil || e.crashed:
		e.crashed, e.cause = true, err
		r.wake()
	default:
		r.addConfirmed(e)
		r.logNotConfirmed(e)
		e.clear()
		e.checkAt = r.Clock.Now().Add(checkPause)
		e.expires = e.checkAt
	}
}

// logNotConfirmed logs that requests broke at a run that has not crashed; the caller
// holds mu.
func (r *Reporter) logNotConfirmed(e *run) {
	if len(e.ids) > 0 {
		r.count("crashes.not_confirmed")
		_ = level.Info(r.Logger).Log("msg", "connections to endpoint lost, endpoint is up", "endpoint", e.endpoint,
			"incarnation", e.incarnation, "addr", e.addr, "requests", idList(e.ids))
	}
}

func (r *Reporter) connect(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return errors.Wrap(r.Connect(ctx, addr), "check")
}

// wake has Run collect what is new; the caller holds mu.
func (r *Reporter) wake() {
	select {
	case r.wakeChannel() <- struct{}{}:
	default: // Run has not yet collected
	}
}

// wakeChannel returns the channel on which Run waits; the caller holds mu.
func (r *Reporter) wakeChannel() chan struct{} {
	if r.wakeCh == nil {
		r.wakeCh = make(chan struct{}, 1)
	}
	return r.wakeCh
}

// drop counts something that is dropped; the caller holds mu.
func (r *Reporter) drop() {
	r.dropped++
	r.count("crashes.dropped")
}

func (r *Reporter) count(name string) {
	if r.Metrics != nil {
		metrics.GetOrRegisterCounter(name, r.Metrics).Inc(1)
	}
}

// idList returns the request IDs as text.
func idList(ids []boragewick.RequestID) string {
	var b []byte
	for i, id := range ids {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, id...)
	}
	return string(b)
}
