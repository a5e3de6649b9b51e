package modelengine

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

// run is the execution of one request. It continues without its connection
// until it is done or canceled.
type run struct {
	id           string
	seed         string
	blocks       []boragewick.BlockHash
	promptTokens int
	cachedTokens int
	prefillLeft  int
	max          int
	tokens       int
	priority     int
	cacheChecked bool
	stream       bool
	chat         bool
	canceled     bool
	changed      chan struct{}
}

func (r *run) done() bool { return r.canceled || r.tokens >= r.max }

// notify wakes the handlers that wait for the run. The caller holds mu.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// retain keeps the run so that it can be resumed, and drops the oldest beyond
// maxRetainedRuns. The caller holds mu.
func (e *Engine) retain(r *run) {
	e.runs[r.id] = r
	e.runIDs = append(e.runIDs, r.id)
	if len(e.runIDs) > maxRetainedRuns {
		delete(e.runs, e.runIDs[0])
		e.runIDs = e.runIDs[1:]
	}
}

// enqueue adds the run to the active ones and starts the batch loop if
// necessary. The caller holds mu.
func (e *Engine) enqueue(r *run) {
	e.retain(r)
	e.active = append(e.active, r)
	if !e.stepping {
		e.stepping = true
		go e.runSteps(e.epoch)
	}
}

// runSteps executes batch steps until no active run is left or the epoch ends.
func (e *Engine) runSteps(epoch boragewick.Incarnation) {
	for {
		e.mu.Lock()
		if e.epoch != epoch {
			e.mu.Unlock()
			return
		}
		batch, prefill := e.planStep()
		if len(batch) == 0 {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		duration, epochEnded := e.stepDuration(batch, prefill), e.epochEnded
		e.mu.Unlock()
		select {
		case <-time.After(duration):
		case <-epochEnded:
		}
		e.mu.Lock()
		if e.epoch == epoch {
			e.applyStep(batch, prefill)
		}
		e.mu.Unlock()
	}
}

// planStep selects the runs of the next step, by priority, and the number of
// prompt tokens to prefill for each.
func (e *Engine) planStep() (batch []*run, prefill []int) {
	e.active = slices.DeleteFunc(e.active, (*run).done)
	slices.SortStableFunc(e.active, func(a, b *run) int { return cmp.Compare(b.priority, a.priority) })
	batch = slices.Clone(e.active[:min(len(e.active), cmp.Or(e.MaxBatch, defaultMaxBatch))])
	budget := cmp.Or(e.MaxPrefillTokens, defaultMaxPrefillTokens)
	for _, r := range batch {
		if !r.cacheChecked {
			r.cacheChecked = true
			r.cachedTokens = min(e.cache.match(r.blocks)*boragewick.BlockTokens, r.promptTokens)
			r.prefillLeft = r.promptTokens - r.cachedTokens
		}
		n := min(budget, r.prefillLeft)
		budget -= n
		prefill = append(prefill, n)
	}
	return batch, prefill
}

func (e *Engine) stepDuration(batch []*run, prefill []int) time.Duration {
	var duration time.Duration
	decoding := 0
	for i, r := range batch {
		duration += time.Duration(prefill[i]) * cmp.Or(e.PrefillTimePerToken, defaultPrefill)
		if r.prefillLeft == prefill[i] {
			decoding++
		}
	}
	if decoding > 0 {
		duration += cmp.Or(e.DecodeTime, defaultDecode) + time.Duration(decoding)*e.DecodeTimePerRequest
	}
	return duration
}

func (e *Engine) applyStep(batch []*run, prefill []int) {
	for i, r := range batch {
		if r.canceled {
			continue
		}
		r.prefillLeft -= prefill[i]
		if r.prefillLeft > 0 {
			continue
		}
		if r.tokens == 0 {
			e.storeBlocks(r.blocks)
		}
		r.tokens++
		r.notify()
	}
}

// storeBlocks adds the blocks to the cache and publishes the removed and stored
// ones. The caller holds mu.
func (e *Engine) storeBlocks(blocks []boragewick.BlockHash) {
	stored, removed := e.cache.store(blocks)
	e.publish(boragewick.CacheRemoved, removed)
	e.publish(boragewick.CacheStored, stored)
}
