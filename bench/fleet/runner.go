// Package fleet stands in for model engines and their agents in an offline
// comparison of routing policies. An engine has a prefill rate, a decode cost
// that grows with its batch and a small cache; its agent sees that cache only
// through late events of which some are lost.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/index"
)

const (
	// PrefillPerSecond is an idle engine's prefill rate in tokens.
	PrefillPerSecond = 30_000.0
	// prefillSlowdown is what each running request adds to the prefill time.
	prefillSlowdown = 0.01
	// prefillSeconds is the time of a prefill without missing tokens.
	prefillSeconds = 0.005
	// decodeSeconds is the time of an output token, and decodeSlowdown is what
	// each running request adds to it.
	decodeSeconds  = 0.008
	decodeSlowdown = 0.0003
	// maxRunning is the size of the batch.
	maxRunning = 64
	// CacheBlocks is the size of the cache.
	CacheBlocks = 1500
	// minLagSeconds and maxLagSeconds bound the lag of cache events.
	minLagSeconds = 0.2
	maxLagSeconds = 0.8
	// lostShare is the share of cache events that are lost.
	lostShare = 0.01
	// restartSeconds is the time from a crash to a cold start.
	restartSeconds = 2.0
)

// Job is one dispatch of a request to a runner.
type Job struct {
	Workspace    boragewick.ID
	Blocks       []boragewick.BlockHash
	PromptTokens uint64
	OutputTokens int
	// Started is called when the prefill starts, with the number of blocks
	// that are cached.
	Started func(matched int)
	// FirstToken is called with the first token.
	FirstToken func()
	// Failed is called when the engine crashes before the first token.
	Failed func()

	// estimate is the agent's estimate of the tokens to prefill.
	estimate uint64
}

// Runner is an engine with its agent.
type Runner struct {
	Endpoint boragewick.Endpoint
	// Lost tells that nothing can reach the runner.
	Lost bool

	agenda *Agenda
	rand   *rand.Rand
	index  index.Index
	// events is an index that learns from events alone.
	events index.Index
	cache  *Cache
	epoch  boragewick.CacheEpoch
	// number counts the events of the epoch.
	number   uint64
	lastSent time.Time
	down     bool
	starts   int
	queue    []*Job
	current  *Job
	since    time.Time
	decoding int
	asked    bool
}

// NewRunner returns a cold runner.
func NewRunner(e boragewick.Endpoint, a *Agenda, seed uint64) *Runner {
	r := &Runner{Endpoint: e, agenda: a, rand: rand.New(rand.NewPCG(seed, 2))}
	r.index.Clock = a
	r.start()
	return r
}

// Matched returns the number of leading blocks that are truly cached.
func (r *Runner) Matched(blocks []boragewick.BlockHash) int {
	return r.cache.Matched(blocks)
}

// Indexed returns the number of leading blocks that the engine's events so far
// tell of.
func (r *Runner) Indexed(blocks []boragewick.BlockHash) int {
	return r.events.Matched(blocks)
}

// Down reports whether the engine is not running or out of reach.
func (r *Runner) Down() bool { return r.down || r.Lost }

// Queued returns the agent's estimate of the prefill work ahead in tokens.
func (r *Runner) Queued() uint64 {
	var n uint64
	for _, j := range r.queue {
		n += j.estimate
	}
	if r.current != nil {
		done := uint64(r.agenda.Now().Sub(r.since).Seconds() * r.rate())
		n += r.current.estimate - min(done, r.current.estimate)
	}
	return n
}

// Running returns the number of requests in the batch.
func (r *Runner) Running() int { return r.decoding }

// Probe answers as the agent does.
func (r *Runner) Probe(q *boragewick.Probe) boragewick.ProbeReply {
	now := r.agenda.Now()
	p := boragewick.ProbeReply{
		Endpoint:    r.Endpoint.Name,
		Incarnation: r.Endpoint.Incarnation,
		Matched:     r.index.Matched(q.Blocks),
		Queued:      r.Queued(),
		Running:     r.decoding,
		Now:         now,
		Refuse:      r.down,
	}
	work := p.Queued + q.PromptTokens - uint64(p.Matched*boragewick.BlockTokens)
	seconds := prefillSeconds + float64(work)/r.rate()
	p.FirstToken = now.Add(time.Duration(seconds * float64(time.Second)))
	return p
}

// Send puts a job into the queue. It reports false when the engine is down.
func (r *Runner) Send(j *Job) bool {
	if r.Down() {
		return false
	}
	matched := r.index.Matched(j.Blocks)
	j.estimate = j.PromptTokens - uint64(matched*boragewick.BlockTokens)
	r.index.Learn(j.Blocks)
	r.queue = append(r.queue, j)
	r.next()
	return true
}

// Crash loses everything that the engine holds and restarts it later.
func (r *Runner) Crash() {
	jobs := r.queue
	if r.current != nil {
		jobs = append(jobs, r.current)
	}
	r.down = true
	r.queue = nil
	r.current = nil
	r.decoding = 0
	r.starts++
	for _, j := range jobs {
		j.Failed()
	}
	r.agenda.After(restartSeconds, r.start)
}

func (r *Runner) start() {
	r.starts++
	r.down = false
	r.cache = NewCache(CacheBlocks)
	r.epoch = boragewick.CacheEpoch{Engine: boragewick.Incarnation(fmt.Sprint(r.Endpoint.Name, r.starts))}
	r.number = 0
	r.index.Reset(r.epoch)
	r.events.Reset(r.epoch)
}

// rate is the prefill rate beside the running requests.
func (r *Runner) rate() float64 {
	return PrefillPerSecond / (1 + prefillSlowdown*float64(r.decoding))
}

// next starts the next prefill.
func (r *Runner) next() {
	if r.current != nil || len(r.queue) == 0 || r.decoding >= maxRunning {
		return
	}
	j := r.queue[0]
	r.queue = r.queue[1:]
	r.current = j
	r.since = r.agenda.Now()
	matched := r.cache.Matched(j.Blocks)
	j.Started(matched)
	missing := float64(j.PromptTokens) - float64(matched*boragewick.BlockTokens)
	run := r.starts
	r.agenda.After(prefillSeconds+missing/r.rate(), func() {
		if r.starts == run {
			r.prefilled(j)
		}
	})
}

// prefilled caches the prompt and starts to decode.
func (r *Runner) prefilled(j *Job) {
	r.current = nil
	stored, removed := r.cache.Use(j.Blocks)
	r.publish(boragewick.CacheStored, stored)
	r.publish(boragewick.CacheRemoved, removed)
	j.FirstToken()
	r.decoding++
	run := r.starts
	seconds := float64(j.OutputTokens) * (decodeSeconds + decodeSlowdown*float64(r.decoding))
	r.agenda.After(seconds, func() {
		if r.starts == run {
			r.decoding--
			r.next()
		}
	})
	r.next()
}

// publish sends a cache event to the agent, late or never.
func (r *Runner) publish(kind boragewick.CacheEventKind, blocks []boragewick.BlockHash) {
	if len(blocks) == 0 {
		return
	}
	r.number++
	e := boragewick.CacheEvent{Epoch: r.epoch, Number: r.number, Kind: kind, Blocks: blocks}
	if r.rand.Float64() < lostShare {
		return
	}
	r.late(func() {
		r.events.Apply(e)
		if r.index.Apply(e) {
			r.repair()
		}
	})
}

// repair asks the engine for a listing, one at a time.
func (r *Runner) repair() {
	if r.asked {
		return
	}
	r.asked = true
	l := boragewick.CacheListing{Epoch: r.epoch, Number: r.number, Blocks: r.cache.list()}
	r.late(func() {
		r.asked = false
		r.events.Repair(l)
		if r.index.Repair(l) {
			r.repair()
		}
	})
}

// late runs f after the lag of events, in order.
func (r *Runner) late(f func()) {
	lag := minLagSeconds + (maxLagSeconds-minLagSeconds)*r.rand.Float64()
	at := r.agenda.Now().Add(time.Duration(lag * float64(time.Second)))
	if at.Before(r.lastSent) {
		at = r.lastSent
	}
	r.lastSent = at
	r.agenda.At(at, f)
}
