package admission

import "time"

// rateWindow is the measured time after which the weight of the measurements so
// far is halved.
const rateWindow = 10 * time.Second

// rate is a measured rate in tokens per second.
type rate struct {
	tokens  float64
	seconds float64
}

func (r *rate) add(tokens uint64, took time.Duration) {
	r.tokens += float64(tokens)
	r.seconds += took.Seconds()
	if r.seconds > rateWindow.Seconds() {
		r.tokens /= 2
		r.seconds /= 2
	}
}

// duration estimates how long the tokens take. The time sinceLast, in which no
// token was counted, lowers the rate. Without a measurement the result is zero.
func (r *rate) duration(tokens uint64, sinceLast time.Duration) time.Duration {
	if r.tokens == 0 {
		return 0
	}
	perToken := (r.seconds + sinceLast.Seconds()) / r.tokens
	return time.Duration(float64(tokens) * perToken * float64(time.Second))
}

// throughput measures the rates at which the engine takes requests from the
// queue and computes prompts.
type throughput struct {
	serve        rate
	prefill      rate
	serveSince   time.Time
	prefillSince time.Time
}

// startServe is called when the queue becomes non-empty.
func (p *throughput) startServe(now time.Time) { p.serveSince = now }

// stopServe is called when the queue becomes empty.
func (p *throughput) stopServe() { p.serveSince = time.Time{} }

// served counts a waiter that was admitted while requests were waiting.
func (p *throughput) served(now time.Time, cost uint64) {
	p.serve.add(cost, now.Sub(p.serveSince))
	p.serveSince = now
}

// startPrefill starts a new measurement of the prefill rate.
func (p *throughput) startPrefill(now time.Time) { p.prefillSince = now }

// prefilled counts a prompt whose first token has arrived. It assumes that the
// engine computes prompts one after the other.
func (p *throughput) prefilled(now time.Time, tokens uint64) {
	if tokens > 0 {
		p.prefill.add(tokens, now.Sub(p.prefillSince))
		p.prefillSince = now
	}
}

// sinceServed returns how long requests have been waiting since the last one was
// admitted; zero when none waits.
func (p *throughput) sinceServed(now time.Time) time.Duration {
	if p.serveSince.IsZero() {
		return 0
	}
	return now.Sub(p.serveSince)
}
