package modelengine

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

// run is one request in the engine. It goes on without its connection until
// it is done or canceled.
type run struct {
	id       string
	seed     string
	blocks   []boragewick.BlockHash
	prompt   int
	cached   int
	prefill  int
	max      int
	tokens   int
	priority int
	looked   bool
	stream   bool
	chat     bool
	canceled bool
	changed  chan struct{}
}

func (r *run) done() bool { return r.canceled || r.tokens >= r.max }

// progress wakes the handlers that wait for the run. The caller holds mu.
func (r *run) progress() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// remember keeps the run for resumes. The caller holds mu.
func (e *Engine) remember(r *run) {
	e.runs[r.id] = r
	e.order = append(e.order, r.id)
	if len(e.order) > keptRuns {
		delete(e.runs, e.order[0])
		e.order = e.order[1:]
	}
}

// enter puts the run into the batch. The caller holds mu.
func (e *Engine) enter(r *run) {
	e.remember(r)
	e.active = append(e.active, r)
	if !e.stepped {
		e.stepped = true
		go e.steps(e.epoch)
	}
}

// steps runs the batch until it is empty or the epoch ends.
func (e *Engine) steps(epoch boragewick.Incarnation) {
	for {
		e.mu.Lock()
		if e.epoch != epoch {
			e.mu.Unlock()
			return
		}
		batch, prefill := e.plan()
		if len(batch) == 0 {
			e.stepped = false
			e.mu.Unlock()
			return
		}
		cost, dead := e.cost(batch, prefill), e.dead
		e.mu.Unlock()
		select {
		case <-time.After(cost):
		case <-dead:
		}
		e.mu.Lock()
		if e.epoch == epoch {
			e.apply(batch, prefill)
		}
		e.mu.Unlock()
	}
}

// plan chooses the runs of the next step and the prompt tokens of each.
func (e *Engine) plan() (batch []*run, prefill []int) {
	e.active = slices.DeleteFunc(e.active, (*run).done)
	slices.SortStableFunc(e.active, func(a, b *run) int { return cmp.Compare(b.priority, a.priority) })
	batch = slices.Clone(e.active[:min(len(e.active), cmp.Or(e.MaxBatch, defaultMaxBatch))])
	left := cmp.Or(e.PrefillStep, defaultPrefillStep)
	for _, r := range batch {
		if !r.looked {
			r.looked = true
			r.cached = min(e.cache.match(r.blocks)*boragewick.BlockTokens, r.prompt)
			r.prefill = r.prompt - r.cached
		}
		n := min(left, r.prefill)
		left -= n
		prefill = append(prefill, n)
	}
	return batch, prefill
}

func (e *Engine) cost(batch []*run, prefill []int) time.Duration {
	var cost time.Duration
	decoding := 0
	for i, r := range batch {
		cost += time.Duration(prefill[i]) * cmp.Or(e.Prefill, defaultPrefill)
		if r.prefill == prefill[i] {
			decoding++
		}
	}
	if decoding > 0 {
		cost += cmp.Or(e.Decode, defaultDecode) + time.Duration(decoding)*e.DecodeEach
	}
	return cost
}

func (e *Engine) apply(batch []*run, prefill []int) {
	for i, r := range batch {
		if r.canceled {
			continue
		}
		r.prefill -= prefill[i]
		if r.prefill > 0 {
			continue
		}
		if r.tokens == 0 {
			e.storeBlocks(r.blocks)
		}
		r.tokens++
		r.progress()
	}
}

// storeBlocks puts the blocks into the cache and publishes what changed. The
// caller holds mu.
func (e *Engine) storeBlocks(blocks []boragewick.BlockHash) {
	stored, removed := e.cache.store(blocks)
	e.publish(boragewick.CacheRemoved, removed)
	e.publish(boragewick.CacheStored, stored)
}
