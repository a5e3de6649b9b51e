package ledger

import (
	"math/rand/v2"
	"time"
)

// maxGenerations is the number of generations whose tokens can be returned.
const maxGenerations = 16

// generations counts the tokens that routers have spent and may still return,
// grouped by when they were granted. When the total must shrink, the oldest
// generations shrink first, and one that has shrunk is closed: no more spent
// tokens are counted in it, so that a refund of old tokens never offsets tokens
// that were spent since.
type generations struct {
	next    uint64 // number of the next generation
	started time.Time
	live    []generation // oldest first
}

type generation struct {
	number uint64
	micros uint64
	closed bool
}

// reset drops all generations. Numbers restart at random so that those of
// another owner do not match.
func (g *generations) reset(now time.Time) {
	*g = generations{next: rand.Uint64(), started: now}
}

// current returns the number of the generation of grants made now.
func (g *generations) current(now time.Time, period time.Duration) uint64 {
	last := len(g.live) - 1
	if last >= 0 && !g.live[last].closed && now.Sub(g.started) < period {
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

// add counts spent tokens in a generation unless it is closed.
func (g *generations) add(number, micros uint64) {
	if gen := g.find(number); gen != nil && !gen.closed {
		gen.micros += micros
	}
}

// remove takes up to micros out of a generation and returns how much it took.
func (g *generations) remove(number, micros uint64) uint64 {
	gen := g.find(number)
	if gen == nil {
		return 0
	}
	micros = min(micros, gen.micros)
	gen.micros -= micros
	return micros
}

// trim reduces the generations, oldest first, until together they fit into the
// room.
func (g *generations) trim(room uint64) {
	var total uint64
	for _, gen := range g.live {
		total += gen.micros
	}
	excess := saturatingSub(total, room)
	for i := 0; excess > 0; i++ {
		gen := &g.live[i]
		lost := min(gen.micros, excess)
		gen.micros -= lost
		gen.closed = true
		excess -= lost
	}
}
