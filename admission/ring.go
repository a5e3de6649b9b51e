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
	// this round, and earned tells that the round's tokens are in it.
	deficit uint64
	earned  bool
	// backlog is the cost of all waiters.
	backlog uint64
	waiters []*waiter
}

// ring serves the flows by deficit round robin.
type ring struct {
	flows map[boragewick.ID]*flow
	turns []*flow
	turn  int
}

// push adds the waiter behind those of its priority.
func (r *ring) push(wt *waiter) {
	f := r.flows[wt.Workspace]
	if f == nil {
		if r.flows == nil {
			r.flows = map[boragewick.ID]*flow{}
		}
		f = &flow{workspace: wt.Workspace}
		r.flows[wt.Workspace] = f
		r.turns = append(r.turns, f)
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

// drop removes the waiter. A flow without waiters loses its deficit.
func (r *ring) drop(wt *waiter) {
	f := wt.flow
	i := slices.Index(f.waiters, wt)
	f.waiters = slices.Delete(f.waiters, i, i+1)
	f.backlog -= wt.cost
	if len(f.waiters) > 0 {
		return
	}
	delete(r.flows, f.workspace)
	i = slices.Index(r.turns, f)
	r.turns = slices.Delete(r.turns, i, i+1)
	if i < r.turn {
		r.turn--
	}
	if r.turn == len(r.turns) {
		r.turn = 0
	}
}

// next returns the waiter whose turn it is. There must be one.
func (r *ring) next(quantum uint64) *waiter {
	for visited := 0; ; visited++ {
		if visited == len(r.turns) {
			r.skip(quantum)
			visited = 0
		}
		f := r.turns[r.turn]
		if !f.earned {
			f.deficit += quantum * f.weight
			f.earned = true
		}
		if f.waiters[0].cost <= f.deficit {
			return f.waiters[0]
		}
		f.earned = false
		r.turn = (r.turn + 1) % len(r.turns)
	}
}

// skip passes the rounds in which no flow could be served.
func (r *ring) skip(quantum uint64) {
	rounds := ^uint64(0)
	for _, f := range r.turns {
		missing := f.waiters[0].cost - f.deficit
		rounds = min(rounds, (missing-1)/(quantum*f.weight))
	}
	for _, f := range r.turns {
		f.deficit += rounds * quantum * f.weight
	}
}

// ahead returns an upper estimate of the tokens that are served before a new
// waiter of the workspace with the cost: its own backlog, and of each other
// workspace what its share allows meanwhile.
func (r *ring) ahead(workspace boragewick.ID, weight, cost, quantum uint64) uint64 {
	var own uint64
	if f := r.flows[workspace]; f != nil {
		own = f.backlog
	}
	weight = max(1, weight)
	tokens := own
	for _, f := range r.turns {
		if f.workspace != workspace {
			tokens += min(f.backlog, (own+cost)*f.weight/weight+quantum*f.weight)
		}
	}
	return tokens
}
