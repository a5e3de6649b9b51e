package ledger

import (
	"math/rand/v2"
	"time"
)

// maxGenerations is how many generations of grants can be given back.
const maxGenerations = 16

// generations holds, by when it was granted, what routers have spent and may
// still give back. When it must shrink, the oldest generations lose first, and
// one that has lost takes in no more: so a refund of old tokens never takes
// the place of tokens that were spent since.
type generations struct {
	next    uint64 // number of the next generation
	started time.Time
	live    []generation // the oldest first
}

type generation struct {
	number uint64
	micros uint64
	closed bool
}

// restart forgets all generations. The numbers of another owner never match.
func (g *generations) restart(now time.Time) {
	*g = generations{next: rand.Uint64(), started: now}
}

// current returns the number of the generation of grants made now.
func (g *generations) current(now time.Time, life time.Duration) uint64 {
	last := len(g.live) - 1
	if last >= 0 && !g.live[last].closed && now.Sub(g.started) < life {
		return g.live[last].number
	}
	if len(g.live) == maxGenerations {
		g.live = append(g.live[:0], g.live[1:]...)
	}
	g.live = append(g.live, generation{number: g.next})
	g.next++
	g.started = now
	return g.live[len(g.live)-1].number
}

func (g *generations) find(number uint64) *generation {
	for i := range g.live {
		if g.live[i].number == number {
			return &g.live[i]
		}
	}
	return nil
}

// add takes in what was spent of a generation.
func (g *generations) add(number, micros uint64) {
	if f := g.find(number); f != nil && !f.closed {
		f.micros += micros
	}
}

// remove takes out up to micros and returns how much it was.
func (g *generations) remove(number, micros uint64) uint64 {
	f := g.find(number)
	if f == nil {
		return 0
	}
	micros = min(micros, f.micros)
	f.micros -= micros
	return micros
}

// squeeze makes all generations together fit into the room.
func (g *generations) squeeze(room uint64) {
	var total uint64
	for _, f := range g.live {
		total += f.micros
	}
	excess := sub(total, room)
	for i := 0; excess > 0; i++ {
		f := &g.live[i]
		lost := min(f.micros, excess)
		f.micros -= lost
		f.closed = true
		excess -= lost
	}
}
