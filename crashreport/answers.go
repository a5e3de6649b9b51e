package crashreport

import (
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

// ObserveAnswered implements boragewick.CrashObserver.
func (r *Reporter) ObserveAnswered(request uint64, parts []uint64, suspected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredRequests.add(r.Clock.Now(), request)
	r.addAnswered(parts, suspected)
	if suspected {
		r.reportAnswered(request)
	}
}

// addAnswered records the parts as answered, and has them reported if they are
// suspected; the caller holds mu.
func (r *Reporter) addAnswered(parts []uint64, suspected bool) {
	r.answeredParts.add(r.Clock.Now(), parts...)
	if suspected {
		r.reportAnswered(parts...)
	}
}

// reportAnswered has the keys reported as answered; the caller holds mu.
func (r *Reporter) reportAnswered(keys ...uint64) {
	if r.answered == nil {
		r.answered = map[uint64]bool{}
	}
	for _, part := range keys {
		if len(r.answered) >= maxAnswered {
			r.drop()
			continue
		}
		r.answered[part] = true
	}
	r.wake()
}

// addAnswered records the parts of an answer that ended with its connection.
func (e *run) addAnswered(a *boragewick.BrokenAttempt) {
	if len(e.answeredRequests) < maxParts {
		e.answeredRequests[a.Request] = e.answeredRequests[a.Request] || a.Suspected
	}
	for _, part := range append(slices.Clip(a.Parts), a.Model) {
		if len(e.answered) < maxParts {
			e.answered[part] = e.answered[part] || a.Suspected
		}
	}
}

// addConfirmed records the parts of answers at a run that has not crashed; the caller
// holds mu.
func (r *Reporter) addConfirmed(e *run) {
	for part, suspected := range e.answered {
		r.addAnswered([]uint64{part}, suspected)
	}
	for request, suspected := range e.answeredRequests {
		r.answeredRequests.add(r.Clock.Now(), request)
		if suspected {
			r.reportAnswered(request)
		}
	}
}

// takeAnswered moves the answered parts to the report, unless the last ones were reported
// just before; the caller holds mu.
func (r *Reporter) takeAnswered(report *boragewick.CrashReport) {
	if len(r.answered) == 0 {
		return
	}
	now := r.Clock.Now()
	if wait := r.answersAt.Sub(now); wait > 0 {
		time.AfterFunc(wait, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.wake()
		})
		return
	}
	r.answersAt = now.Add(answersInterval)
	for part := range r.answered {
		report.Answered = append(report.Answered, part)
	}
	r.answered = nil
}
