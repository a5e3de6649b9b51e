package admission

import (
	"slices"

	"github.com/boragewick/boragewick"
)

// flow is the queue of one workspace.
type flow struct {
	workspace boragewick.ID
	weight    uint64
	// deficit is the number of tokens that the workspace may still use in
	// this round; credited reports whether it includes this round's tokens.
	deficit  uint64
	credited bool
	// backlog is the total cost of the waiters.
	backlog uint64
	waiters []*waiter
}

// ring selects waiters by deficit round robin over the flows.
type ring struct {
	flows   map[boragewick.ID]*flow
	active  []*flow
	current int
}

// push inserts the waiter after those of the same or a higher priority.
func (r *ring) push(wt *waiter) {
	f := r.flows[wt.Workspace]
	if f == nil {
		if r.flows == nil {
			r.flows = map[boragewick.ID]*flow{}
		}
		f = &flow{workspace: wt.Workspace}
		r.flows[wt.Workspace] = f
		r.active = append(r.active, f)
	}
	f.weight = max(1, uint64(wt.Weight))
	f.backlog += wt.cost
	wt.flow = f
	i := len(f.waiters)
	for i > 0 && f.waiters[i-1].Priority < wt.Priority {
		i--
	}
	f.waiters = slices.Insert(f.waiters, i, wt)
}

// remove removes the waiter. A flow without waiters is removed and loses its
// deficit.
func (r *ring) remove(wt *waiter) {
	f := wt.flow
	i := slices.Index(f.waiters, wt)
	f.waiters = slices.Delete(f.waiters, i, i+1)
	f.backlog -= wt.cost
	if len(f.waiters) > 0 {
		return
	}
	delete(r.flows, f.workspace)
	i = slices.Index(r.active, f)
	r.active = slices.Delete(r.active, i, i+1)
	if i < r.current {
		r.current--
	}
	if r.current == len(r.active) {
		r.current = 0
	}
}

// next returns the waiter whose turn it is. The ring must not be empty.
func (r *ring) next(quantum uint64) *waiter {
	for visited := 0; ; visited++ {
		if visited == len(r.active) {
			r.skipRounds(quantum)
			visited = 0
		}
		f := r.active[r.current]
		if !f.credited {
			f.deficit += quantum * f.weight
			f.credited = true
		}
		if f.waiters[0].cost <= f.deficit {
			return f.waiters[0]
		}
		f.credited = false
		r.current = (r.current + 1) % len(r.active)
	}
}

// skipRounds credits all flows at once with the rounds in which none of them
// could be served.
func (r *ring) skipRounds(quantum uint64) {
	rounds := ^uint64(0)
	for _, f := range r.active {
		missing := f.waiters[0].cost - f.deficit
		rounds = min(rounds, (missing-1)/(quantum*f.weight))
	}
	for _, f := range r.active {
		f.deficit += rounds * quantum * f.weight
	}
}

// ahead returns an upper estimate of the tokens that are served before a new
// waiter of the workspace with the cost: the workspace's own backlog, and for
// each other workspace the part of its backlog that its share allows meanwhile.
func (r *ring) ahead(workspace boragewick.ID, weight, cost, quantum uint64) uint64 {
	var own uint64
	if f := r.flows[workspace]; f != nil {
		own = f.backlog
	}
	weight = max(1, weight)
	tokens := own
	for _, f := range r.active {
		if f.workspace != workspace {
			tokens += min(f.backlog, (own+cost)*f.weight/weight+quantum*f.weight)
		}
	}
	return tokens
}
