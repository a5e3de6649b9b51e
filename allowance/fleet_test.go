package allowance

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/ledger"
)

const (
	workspace = boragewick.ID("ws_aaaaaaaaaaaaaaaa")
	step      = time.Millisecond
)

// epoch is the true time at which a run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet runs routers and owners of one workspace on a time of its own, with
// messages between them that may be lost, repeated and crossed.
type fleet struct {
	rng     *rand.Rand
	now     time.Time // true time
	events  eventQueue
	routers []*simRouter
	owners  []*ledger.Ledger
	owner   int // that leads; -1 for none
	faults  faults
	usage   usage
	ideal   *idealBucket

	messages, bytes          int
	served, refused, wrongly int
	impossible               int // for the ideal bucket
	starts                   int
	waited, idealWaits       []time.Duration
}

// faults are the odds of mishaps.
type faults struct {
	drift     float64 // largest rate by which a clock is wrong
	lost      float64 // of each message
	repeated  float64
	slowest   time.Duration // of a message, beyond a millisecond
	perSecond float64       // owner failovers, router deaths and partitions
}

// simRouter is one run of a router.
type simRouter struct {
	*account
	drift    float64
	cutUntil time.Time
	// pausedUntil is when the router's process runs on.
	pausedUntil time.Time
	dueAt       time.Time // true time of the next look
	flying      map[uint64]flight
}

// flight is a grant that the router may yet accept.
type flight struct {
	tokens  uint64
	expires time.Time // of the router's clock
}

func newFleet(seed uint64, routers int, rate, burst uint64, f faults) *fleet {
	s := &fleet{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		now:    epoch,
		faults: f,
		usage:  usage{rate: float64(rate), burst: float64(burst), at: epoch},
		ideal:  &idealBucket{rate: float64(rate), burst: float64(burst), level: float64(burst), at: epoch},
	}
	for range 3 {
		drift := s.newDrift()
		offset := time.Duration(s.rng.Int64N(int64(time.Hour)))
		clock := func() time.Time { return local(s.now, drift).Add(offset) }
		s.owners = append(s.owners, ledger.New(boragewick.ClockFunc(clock)))
	}
	s.setRate(rate)
	s.owners[0].Start(false)
	for range routers {
		s.routers = append(s.routers, s.newRouter())
	}
	return s
}

func (s *fleet) setRate(rate uint64) {
	s.usage.setRate(s.now, float64(rate))
	for _, o := range s.owners {
		o.SetRates([]boragewick.Rate{{Workspace: workspace, TokensPerSecond: rate, Burst: uint64(s.usage.burst)}})
	}
}

func (s *fleet) newDrift() float64 { return (2*s.rng.Float64() - 1) * s.faults.drift }

func (s *fleet) newRouter() *simRouter {
	s.starts++
	id := boragewick.Incarnation(fmt.Sprintf("inc_%016d", s.starts))
	return &simRouter{
		account: newAccount(fmt.Sprintf("router-%d", s.starts), id, workspace),
		drift:   s.newDrift(),
		flying:  map[uint64]flight{},
	}
}

// local returns what a clock that drifts shows.
func local(now time.Time, drift float64) time.Time {
	return now.Add(time.Duration(float64(now.Sub(epoch)) * drift))
}

func (r *simRouter) local(now time.Time) time.Time { return local(now, r.drift) }

// advance moves the time on and lets all that is due happen.
func (s *fleet) advance() {
	s.now = s.now.Add(step)
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		heap.Pop(&s.events).(event).run()
	}
	for _, r := range s.routers {
		if !r.dueAt.IsZero() && !r.dueAt.After(s.now) {
			s.look(r)
		}
	}
}

// look does what the router's task does when it wakes.
func (s *fleet) look(r *simRouter) {
	if s.now.Before(r.pausedUntil) {
		r.dueAt = r.pausedUntil
		return
	}
	now := r.local(s.now)
	if request, ok := r.next(now); ok {
		s.send(r, request)
	}
	at := r.wakeAt(now)
	r.dueAt = time.Time{}
	if !at.IsZero() {
		wait := time.Duration(float64(at.Sub(now)) / (1 + r.drift))
		r.dueAt = s.now.Add(max(wait, step))
	}
}

func (s *fleet) send(r *simRouter, request boragewick.GrantRequest) {
	s.count(request)
	s.deliver(r, func() {
		if s.owner < 0 {
			return
		}
		grant, err := s.owners[s.owner].Grant(context.Background(), request)
		if err != nil {
			return
		}
		s.count(grant)
		s.board(r, grant)
		s.deliver(r, func() { s.answer(r, grant) })
	})
}

func (s *fleet) answer(r *simRouter, g boragewick.Grant) {
	if s.now.Before(r.pausedUntil) {
		s.at(r.pausedUntil.Sub(s.now), func() { s.answer(r, g) })
		return
	}
	delete(r.flying, g.Number)
	r.apply(r.local(s.now), g)
	s.look(r)
}

// board notes a grant that is on its way to a router that waits for it.
func (s *fleet) board(r *simRouter, g boragewick.Grant) {
	if r.pending == nil || r.pending.Number != g.Number {
		return
	}
	life := g.Expires.Sub(g.Now)
	f := flight{tokens: g.Tokens, expires: r.sent.Add(life - life/driftDivisor)}
	if f.tokens > r.flying[g.Number].tokens {
		r.flying[g.Number] = f
	}
}

// deliver has f run later, never, or twice.
func (s *fleet) deliver(r *simRouter, f func()) {
	copies := 1
	if s.rng.Float64() < s.faults.repeated {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.faults.lost || s.now.Before(r.cutUntil) {
			continue
		}
		delay := time.Millisecond
		if s.faults.slowest > 0 {
			delay += time.Duration(s.rng.ExpFloat64() * float64(s.faults.slowest) / 10)
		}
		heap.Push(&s.events, event{s.now.Add(delay), f})
	}
}

func (s *fleet) count(message any) {
	b, err := boragewick.Encode(message)
	if err != nil {
		panic(err)
	}
	s.messages++
	s.bytes += len(b)
}

// request has the router serve a request that reserves and uses tokens.
func (s *fleet) request(r *simRouter, tokens, used uint64, patience, runs time.Duration) {
	if s.now.Before(r.pausedUntil) {
		return
	}
	arrived := s.now
	s.ideal.advance(s.now)
	before := s.ideal.level
	reserved, atOnce := s.ideal.reserve(s.now, float64(tokens), patience)
	if reserved != nil {
		wait := max(0, float64(tokens)-before) / s.ideal.rate
		s.idealWaits = append(s.idealWaits, time.Duration(wait*float64(time.Second)))
		s.at(runs, func() { s.ideal.settle(s.now, reserved, float64(tokens-used)) })
	}
	if reserved == nil {
		s.impossible++
	}
	serve := func(generation uint64) {
		s.served++
		s.waited = append(s.waited, s.now.Sub(arrived))
		spent := s.usage.spend(s.now, float64(tokens))
		s.at(runs, func() {
			s.usage.settle(spent, float64(used))
			r.settle(generation, used, tokens-used)
			s.look(r)
		})
	}
	refuse := func() {
		s.refused++
		if atOnce {
			s.wrongly++
		}
	}
	now := r.local(s.now)
	if generation, ok := r.takeAtOnce(now, tokens); ok {
		serve(generation)
		s.look(r)
		return
	}
	w, err := r.join(now, tokens, now.Add(patience))
	if err != nil {
		refuse()
		return
	}
	s.look(r)
	s.await(r, w, serve, refuse)
}

// await looks each step whether the waiter has its result.
func (s *fleet) await(r *simRouter, w *waiter, serve func(uint64), refuse func()) {
	now := r.local(s.now)
	if !now.Before(w.deadline) {
		r.leave(now, w, nil)
	}
	select {
	case err := <-w.result:
		if err == nil {
			serve(w.generation)
		} else {
			refuse()
		}
	default:
		s.at(step, func() { s.await(r, w, serve, refuse) })
	}
}

func (s *fleet) at(after time.Duration, f func()) {
	heap.Push(&s.events, event{s.now.Add(after), f})
}

// outstanding is what routers may still spend without another grant.
func (s *fleet) outstanding() float64 {
	var tokens uint64
	for _, r := range s.routers {
		now := r.local(s.now)
		r.expire(now)
		tokens += r.inHand()
		for number, f := range r.flying {
			if r.pending != nil && r.pending.Number == number && now.Before(f.expires) {
				tokens += f.tokens
			}
		}
	}
	return float64(tokens)
}

// mishap brings an owner failover, a router's death, pause or partition, or a
// change of the rate.
func (s *fleet) mishap() {
	i := s.rng.IntN(len(s.routers))
	switch s.rng.IntN(5) {
	case 0:
		if s.owner < 0 {
			return
		}
		s.pause(s.routers[i])
		s.failover(time.Duration(s.rng.Int64N(int64(time.Second))))
	case 1:
		s.routers[i] = s.newRouter()
	case 2:
		s.routers[i].cutUntil = s.now.Add(time.Duration(s.rng.Int64N(int64(8 * time.Second))))
	case 3:
		s.pause(s.routers[i])
	case 4:
		s.setRate(uint64(s.usage.rate*math.Exp(s.rng.NormFloat64()/3)) + 1)
	}
}

// failover has another owner start some time after the present one stopped.
func (s *fleet) failover(gap time.Duration) {
	s.owners[s.owner].Stop()
	next := (s.owner + 1 + s.rng.IntN(2)) % len(s.owners)
	s.owner = -1
	s.at(gap, func() {
		s.owner = next
		s.owners[next].Start(false)
	})
}

func (s *fleet) pause(r *simRouter) {
	r.pausedUntil = s.now.Add(time.Duration(s.rng.Int64N(int64(5 * time.Second))))
}

// event is something that happens at a true time.
type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
