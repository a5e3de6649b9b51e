package admission

import "time"

// paceWindow is the busy time after which older measurements count half.
const paceWindow = 10 * time.Second

// rate is a learned number of tokens a second.
type rate struct {
	tokens float64
	busy   float64
}

// add counts tokens that took the time.
func (r *rate) add(tokens uint64, took time.Duration) {
	r.tokens += float64(tokens)
	r.busy += took.Seconds()
	if r.busy > paceWindow.Seconds() {
		r.tokens /= 2
		r.busy /= 2
	}
}

// time returns how long the tokens take, given that nothing came for idle.
// Without a measurement it is zero.
func (r *rate) time(tokens uint64, idle time.Duration) time.Duration {
	if r.tokens == 0 {
		return 0
	}
	perToken := (r.busy + idle.Seconds()) / r.tokens
	return time.Duration(float64(tokens) * perToken * float64(time.Second))
}

// pace learns how fast the engine takes and computes what it is given.
type pace struct {
	serve    rate
	prefill  rate
	since    time.Time
	lastMark time.Time
}

// busy tells that requests wait from now on.
func (p *pace) busy(now time.Time) { p.since = now }

// idle tells that no request waits.
func (p *pace) idle() { p.since = time.Time{} }

// served counts a waiter that was admitted while requests were waiting.
func (p *pace) served(now time.Time, cost uint64) {
	p.serve.add(cost, now.Sub(p.since))
	p.since = now
}

// mark tells that the engine begins to compute what is in it.
func (p *pace) mark(now time.Time) { p.lastMark = now }

// prefilled counts a prompt whose first token has come. Prompts are taken to
// be computed one after the other.
func (p *pace) prefilled(now time.Time, tokens uint64) {
	if tokens > 0 {
		p.prefill.add(tokens, now.Sub(p.lastMark))
		p.lastMark = now
	}
}

// waiting returns how long requests have waited since the last one was served.
func (p *pace) waiting(now time.Time) time.Duration {
	if p.since.IsZero() {
		return 0
	}
	return now.Sub(p.since)
}
