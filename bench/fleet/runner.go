// Package fleet simulates model engines and their agents for an offline
// comparison of routing policies. An engine has a prefill rate, a decode time
// that grows with its batch and a small cache; its agent learns of that cache
// only through delayed events, some of which are lost.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/index"
)

const (
	// PrefillPerSecond is an idle engine's prefill rate in tokens per second.
	PrefillPerSecond = 30_000.0
	// prefillSlowdown is the fraction by which each running request lengthens
	// the prefill.
	prefillSlowdown = 0.01
	// prefillSeconds is the duration of a prefill whose tokens are all cached.
	prefillSeconds = 0.005
	// decodeSeconds is the decode time of an output token, and decodeSlowdown
	// the seconds that each running request adds to it.
	decodeSeconds  = 0.008
	decodeSlowdown = 0.0003
	// maxRunning is the maximum batch size.
	maxRunning = 64
	// CacheBlocks is the capacity of an engine's cache in blocks.
	CacheBlocks = 1500
	// minLagSeconds and maxLagSeconds bound the delivery delay of cache events.
	minLagSeconds = 0.2
	maxLagSeconds = 0.8
	// lostShare is the fraction of cache events that are lost.
	lostShare = 0.01
	// restartSeconds is the time from a crash to the restart with an empty cache.
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
	// FirstToken is called when the first token is produced.
	FirstToken func()
	// Failed is called when the engine crashes before the first token.
	Failed func()

	// estimate is the agent's estimate of the tokens to prefill.
	estimate uint64
}

// Runner simulates an engine and its agent.
type Runner struct {
	Endpoint boragewick.Endpoint
	// Unreachable reports whether the runner is cut off from the routers, so that
	// requests and probes sent to it and its first tokens are lost.
	Unreachable bool

	scheduler *Scheduler
	rand      *rand.Rand
	index     index.Index
	// eventIndex is an index that is updated by cache events only; index also
	// learns from the requests sent to the runner.
	eventIndex index.Index
	cache      *Cache
	epoch      boragewick.CacheEpoch
	// eventNumber is the number of the last cache event of the epoch.
	eventNumber    uint64
	lastDelivery   time.Time
	down           bool
	generation     int
	queue          []*Job
	current        *Job
	prefillStart   time.Time
	decoding       int
	listingPending bool
}

// NewRunner returns a runner with an empty cache.
func NewRunner(e boragewick.Endpoint, a *Scheduler, seed uint64) *Runner {
	r := &Runner{Endpoint: e, scheduler: a, rand: rand.New(rand.NewPCG(seed, 2))}
	r.index.Clock = a
	r.start()
	return r
}

// Matched returns the number of leading blocks that are in the engine's cache.
func (r *Runner) Matched(blocks []boragewick.BlockHash) int {
	return r.cache.Matched(blocks)
}

// MatchedByEvents returns the number of leading blocks that are cached
// according to the events delivered so far.
func (r *Runner) MatchedByEvents(blocks []boragewick.BlockHash) int {
	return r.eventIndex.Matched(blocks)
}

// Down reports whether the engine is not running or unreachable.
func (r *Runner) Down() bool { return r.down || r.Unreachable }

// Queued returns the agent's estimate of the outstanding prefill work in tokens.
func (r *Runner) Queued() uint64 {
	var n uint64
	for _, j := range r.queue {
		n += j.estimate
	}
	if r.current != nil {
		done := uint64(r.scheduler.Now().Sub(r.prefillStart).Seconds() * r.prefillRate())
		n += r.current.estimate - min(done, r.current.estimate)
	}
	return n
}

// Running returns the number of requests that are being decoded.
func (r *Runner) Running() int { return r.decoding }

// Probe answers a probe as an agent does.
func (r *Runner) Probe(q *boragewick.Probe) boragewick.ProbeReply {
	now := r.scheduler.Now()
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
	seconds := prefillSeconds + float64(work)/r.prefillRate()
	p.FirstToken = now.Add(time.Duration(seconds * float64(time.Second)))
	return p
}

// Send queues a job. It returns false if the runner is down or unreachable.
func (r *Runner) Send(j *Job) bool {
	if r.Down() {
		return false
	}
	matched := r.index.Matched(j.Blocks)
	j.estimate = j.PromptTokens - uint64(matched*boragewick.BlockTokens)
	r.index.PresumeCached(j.Blocks)
	r.queue = append(r.queue, j)
	r.startPrefill()
	return true
}

// Crash fails all jobs that have no first token yet, drops the engine's state
// and schedules its restart.
func (r *Runner) Crash() {
	jobs := r.queue
	if r.current != nil {
		jobs = append(jobs, r.current)
	}
	r.down = true
	r.queue = nil
	r.current = nil
	r.decoding = 0
	r.generation++
	for _, j := range jobs {
		j.Failed()
	}
	r.scheduler.After(restartSeconds, r.start)
}

func (r *Runner) start() {
	r.generation++
	r.down = false
	r.cache = NewCache(CacheBlocks)
	r.epoch = boragewick.CacheEpoch{Engine: boragewick.Incarnation(fmt.Sprint(r.Endpoint.Name, r.generation))}
	r.eventNumber = 0
	r.index.Reset(r.epoch)
	r.eventIndex.Reset(r.epoch)
}

// prefillRate returns the prefill rate with the current number of running
// requests, in tokens per second.
func (r *Runner) prefillRate() float64 {
	return PrefillPerSecond / (1 + prefillSlowdown*float64(r.decoding))
}

// startPrefill starts the prefill of the next queued job, unless a prefill is in
// progress or the batch is full.
func (r *Runner) startPrefill() {
	if r.current != nil || len(r.queue) == 0 || r.decoding >= maxRunning {
		return
	}
	j := r.queue[0]
	r.queue = r.queue[1:]
	r.current = j
	r.prefillStart = r.scheduler.Now()
	matched := r.cache.Matched(j.Blocks)
	j.Started(matched)
	missing := float64(j.PromptTokens) - float64(matched*boragewick.BlockTokens)
	generation := r.generation
	r.scheduler.After(prefillSeconds+missing/r.prefillRate(), func() {
		if r.generation == generation {
			r.finishPrefill(j)
		}
	})
}

// finishPrefill caches the prompt, reports the first token and starts decoding.
func (r *Runner) finishPrefill(j *Job) {
	r.current = nil
	stored, removed := r.cache.Insert(j.Blocks)
	r.publish(boragewick.CacheStored, stored)
	r.publish(boragewick.CacheRemoved, removed)
	j.FirstToken()
	r.decoding++
	generation := r.generation
	seconds := float64(j.OutputTokens) * (decodeSeconds + decodeSlowdown*float64(r.decoding))
	r.scheduler.After(seconds, func() {
		if r.generation == generation {
			r.decoding--
			r.startPrefill()
		}
	})
	r.startPrefill()
}

// publish sends a cache event to the agent with a delay. The event is lost with
// probability lostShare.
func (r *Runner) publish(kind boragewick.CacheEventKind, blocks []boragewick.BlockHash) {
	if len(blocks) == 0 {
		return
	}
	r.eventNumber++
	e := boragewick.CacheEvent{Epoch: r.epoch, Number: r.eventNumber, Kind: kind, Blocks: blocks}
	if r.rand.Float64() < lostShare {
		return
	}
	r.deliverLate(func() {
		r.eventIndex.Apply(e)
		if r.index.Apply(e) {
			r.requestListing()
		}
	})
}

// requestListing requests a listing of the cache from the engine, unless a
// request is pending.
func (r *Runner) requestListing() {
	if r.listingPending {
		return
	}
	r.listingPending = true
	l := boragewick.CacheListing{Epoch: r.epoch, Number: r.eventNumber, Blocks: r.cache.allBlocks()}
	r.deliverLate(func() {
		r.listingPending = false
		r.eventIndex.Replace(l)
		if r.index.Replace(l) {
			r.requestListing()
		}
	})
}

// deliverLate schedules f after a random event delay, without reordering
// deliveries.
func (r *Runner) deliverLate(f func()) {
	lag := minLagSeconds + (maxLagSeconds-minLagSeconds)*r.rand.Float64()
	at := r.scheduler.Now().Add(time.Duration(lag * float64(time.Second)))
	if at.Before(r.lastDelivery) {
		at = r.lastDelivery
	}
	r.lastDelivery = at
	r.scheduler.At(at, f)
}
