package headroom

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

// result is how a wait ended.
type result string

const (
	resultAdmitted result = "admitted"
	resultRefused  result = "refused"
	resultLeft     result = "left"
	resultFailed   result = "failed"
	resultStopped  result = "stopped"
)

// outcome is the decision on a request.
type outcome struct {
	result     result
	candidates []boragewick.Candidate
	admitted   *place
	err        error
}

// place returns the place as an interface, which is nil without one.
func (o *outcome) place() boragewick.Place {
	if o.admitted == nil {
		return nil
	}
	return o.admitted
}

// place implements boragewick.Place.
type place struct {
	headroom  *Headroom
	admission *admission
	// forecast is when the first token was expected at decidedAt.
	forecast, decidedAt time.Time
	lead                *forecast
	started             bool
}

// Sent implements boragewick.Place.
func (p *place) Sent() {
	p.headroom.mu.Lock()
	defer p.headroom.mu.Unlock()
	p.admission.share = p.admission.outputShare
}

// Started implements boragewick.Place. It compares the forecast with when the first event
// came.
func (p *place) Started() {
	if p.started {
		return
	}
	p.started = true
	h := p.headroom
	now := h.now()
	h.mu.Lock()
	p.lead.observeLead(now.Sub(p.decidedAt))
	h.mu.Unlock()
	if h.Metrics == nil {
		return
	}
	h.histogram("headroom.forecast_ms").Update(p.forecast.Sub(p.decidedAt).Milliseconds())
	h.histogram("headroom.first_event_ms").Update(now.Sub(p.decidedAt).Milliseconds())
	h.histogram("headroom.forecast_error_ms").Update(now.Sub(p.forecast).Milliseconds())
}

func (h *Headroom) histogram(name string) metrics.Histogram {
	return h.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// sampleSize and sampleAlpha are those of the registry's timers.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func (h *Headroom) count(name string) {
	if h.Metrics != nil {
		metrics.GetOrRegisterCounter(name, h.Metrics).Inc(1)
	}
}

// hold records that the request waits.
func (h *Headroom) hold(w *waiter, wait time.Duration, known bool, now time.Time) {
	h.waiting.Add(1)
	h.changed.send() // Run starts its timer
	h.count("headroom.held")
	w.forecastAt, w.forecastKnown = now.Add(wait), known
}

// end records and reports how the wait of a request that is no longer in the queue ended.
func (h *Headroom) end(q *queue, w *waiter, out outcome, now time.Time) {
	h.waiting.Add(-1)
	waited := now.Sub(w.since)
	if h.Metrics != nil {
		h.histogram("headroom.waited_ms").Update(waited.Milliseconds())
		if out.result == resultAdmitted && w.forecastKnown {
			h.histogram("headroom.wait_error_ms").Update(now.Sub(w.forecastAt).Milliseconds())
		}
	}
	h.count("headroom.ended_" + string(out.result))
	h.log("hold ended", q, w, now, "result", out.result, "waited_ms", waited.Milliseconds(), "err", out.err)
	w.result <- out
}

// refuse returns the refusal of a request whose forecast wait is too long.
func (h *Headroom) refuse(q *queue, w *waiter, wait time.Duration, now time.Time) outcome {
	at := q.returnTime(w, wait, now)
	h.count("headroom.refused")
	h.log("request refused for lack of room", q, w, now, "forecast_ms", wait.Milliseconds(), "retry_after_ms", at.Sub(now).Milliseconds())
	err := errors.Wrapf(boragewick.ErrOverloaded, "no room at the engines of pool %s for %s, caller waits for %s", w.request.Pool, wait, w.request.UsefulUntil.Sub(now))
	return outcome{result: resultRefused, err: boragewick.NotRun(&boragewick.RetryError{At: at, Err: err})}
}

// log writes a line with the inputs of a decision.
func (h *Headroom) log(msg string, q *queue, w *waiter, now time.Time, fields ...any) {
	if h.Logger == nil {
		return
	}
	r, s, above := w.request, &q.ranks[w.rank], q.level(w.rank, now)
	line := append([]any{
		"msg", msg, "id", r.ID, "pool", r.Pool, "workspace", r.Workspace, "rank", w.rank, "level", above, "limit", limit(above),
		"memory_use", w.memoryUse, "tokens", w.tokens, "left_ms", r.UsefulUntil.Sub(now).Milliseconds(), "lead_ms", s.lead.Milliseconds(),
		"waiting", h.waiting.Load(), "rank_waiting", s.waiting, "released_tokens", int(s.released), "busy_ms", int(s.seconds * millisPerSecond),
	}, fields...)
	_ = level.Info(h.Logger).Log(line...)
}

const millisPerSecond = 1000
