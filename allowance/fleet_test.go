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

// epoch is the true time at which a simulation begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates the routers and owners of one workspace on a simulated clock,
// with messages between them that may be lost, duplicated and reordered.
type fleet struct {
	rng     *rand.Rand
	now     time.Time // true time
	events  eventQueue
	routers []*simRouter
	owners  []*ledger.Ledger
	owner   int // index of the current owner; -1 for none
	faults  faults
	usage   usage
	ideal   *idealBucket

	messages, bytes                 int
	served, refused, wronglyRefused int
	refusedByIdeal                  int // requests that the ideal bucket refuses
	routerStarts                    int
	waits, idealWaits               []time.Duration
}

// faults holds the probabilities and sizes of the injected faults.
type faults struct {
	drift      float64 // maximum drift rate of a clock
	lost       float64 // probability for each message
	repeated   float64
	delayScale time.Duration // ten times the mean delay of a message beyond a millisecond
	perSecond  float64       // rate of the faults of injectFault
}

// simRouter is one incarnation of a router.
type simRouter struct {
	*account
	drift            float64
	partitionedUntil time.Time
	// pausedUntil is when the paused process of the router resumes.
	pausedUntil time.Time
	taskDueAt   time.Time // true time of the next wakeTask
	inFlight    map[uint64]inFlightGrant
}

// inFlightGrant is a grant under way that the router may still accept.
type inFlightGrant struct {
	tokens  uint64
	expires time.Time // on the router's clock
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
		clock := func() time.Time { return localTime(s.now, drift).Add(offset) }
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
	s.routerStarts++
	id := boragewick.Incarnation(fmt.Sprintf("inc_%016d", s.routerStarts))
	return &simRouter{
		account:  newAccount(fmt.Sprintf("router-%d", s.routerStarts), id, workspace),
		drift:    s.newDrift(),
		inFlight: map[uint64]inFlightGrant{},
	}
}

// localTime returns the time that a clock with the drift shows.
func localTime(now time.Time, drift float64) time.Time {
	return now.Add(time.Duration(float64(now.Sub(epoch)) * drift))
}

func (r *simRouter) localTime(now time.Time) time.Time { return localTime(now, r.drift) }

// advance moves the time forward by one step and runs the events and router tasks
// that are due.
func (s *fleet) advance() {
	s.now = s.now.Add(step)
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		heap.Pop(&s.events).(event).run()
	}
	for _, r := range s.routers {
		if !r.taskDueAt.IsZero() && !r.taskDueAt.After(s.now) {
			s.wakeTask(r)
		}
	}
}

// wakeTask does what the router's task does when it wakes up.
func (s *fleet) wakeTask(r *simRouter) {
	if s.now.Before(r.pausedUntil) {
		r.taskDueAt = r.pausedUntil
		return
	}
	now := r.localTime(s.now)
	if request, ok := r.nextRequest(now); ok {
		s.send(r, request)
	}
	at := r.wakeAt(now)
	r.taskDueAt = time.Time{}
	if !at.IsZero() {
		wait := time.Duration(float64(at.Sub(now)) / (1 + r.drift))
		r.taskDueAt = s.now.Add(max(wait, step))
	}
}

func (s *fleet) send(r *simRouter, request boragewick.GrantRequest) {
	s.countMessage(request)
	s.deliver(r, func() {
		if s.owner < 0 {
			return
		}
		grant, err := s.owners[s.owner].Grant(context.Background(), request)
		if err != nil {
			return
		}
		s.countMessage(grant)
		s.trackInFlight(r, grant)
		s.deliver(r, func() { s.receiveGrant(r, grant) })
	})
}

func (s *fleet) receiveGrant(r *simRouter, g boragewick.Grant) {
	if s.now.Before(r.pausedUntil) {
		s.schedule(r.pausedUntil.Sub(s.now), func() { s.receiveGrant(r, g) })
		return
	}
	delete(r.inFlight, g.Number)
	r.applyGrant(r.localTime(s.now), g)
	s.wakeTask(r)
}

// trackInFlight records a grant under way if the router still waits for it.
func (s *fleet) trackInFlight(r *simRouter, g boragewick.Grant) {
	if r.pending == nil || r.pending.Number != g.Number {
		return
	}
	lifetime := g.Expires.Sub(g.Now)
	f := inFlightGrant{tokens: g.Tokens, expires: r.sent.Add(lifetime - lifetime/driftDivisor)}
	if f.tokens > r.inFlight[g.Number].tokens {
		r.inFlight[g.Number] = f
	}
}

// deliver runs f after a delay, as a message that may be lost or duplicated.
func (s *fleet) deliver(r *simRouter, f func()) {
	copies := 1
	if s.rng.Float64() < s.faults.repeated {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.faults.lost || s.now.Before(r.partitionedUntil) {
			continue
		}
		delay := time.Millisecond
		if s.faults.delayScale > 0 {
			delay += time.Duration(s.rng.ExpFloat64() * float64(s.faults.delayScale) / 10)
		}
		heap.Push(&s.events, event{s.now.Add(delay), f})
	}
}

func (s *fleet) countMessage(message any) {
	b, err := boragewick.Encode(message)
	if err != nil {
		panic(err)
	}
	s.messages++
	s.bytes += len(b)
}

// request simulates a request to the router that reserves tokens and uses some of
// them. It compares the result with that of the ideal bucket.
func (s *fleet) request(r *simRouter, tokens, used uint64, maxWait, runTime time.Duration) {
	if s.now.Before(r.pausedUntil) {
		return
	}
	arrived := s.now
	s.ideal.advance(s.now)
	before := s.ideal.level
	reserved, atOnce := s.ideal.reserve(s.now, float64(tokens), maxWait)
	if reserved != nil {
		wait := max(0, float64(tokens)-before) / s.ideal.rate
		s.idealWaits = append(s.idealWaits, time.Duration(wait*float64(time.Second)))
		s.schedule(runTime, func() { s.ideal.settle(s.now, reserved, float64(tokens-used)) })
	}
	if reserved == nil {
		s.refusedByIdeal++
	}
	serve := func(generation uint64) {
		s.served++
		s.waits = append(s.waits, s.now.Sub(arrived))
		spent := s.usage.spend(s.now, float64(tokens))
		s.schedule(runTime, func() {
			s.usage.settle(spent, float64(used))
			r.settle(generation, used, tokens-used)
			s.wakeTask(r)
		})
	}
	refuse := func() {
		s.refused++
		if atOnce {
			s.wronglyRefused++
		}
	}
	now := r.localTime(s.now)
	if generation, ok := r.tryTake(now, tokens); ok {
		serve(generation)
		s.wakeTask(r)
		return
	}
	w, err := r.enqueue(now, tokens, now.Add(maxWait))
	if err != nil {
		refuse()
		return
	}
	s.wakeTask(r)
	s.pollResult(r, w, serve, refuse)
}

// pollResult checks in each step whether the waiter has its result.
func (s *fleet) pollResult(r *simRouter, w *waiter, serve func(uint64), refuse func()) {
	now := r.localTime(s.now)
	if !now.Before(w.deadline) {
		r.abandon(now, w, nil)
	}
	select {
	case err := <-w.result:
		if err == nil {
			serve(w.generation)
		} else {
			refuse()
		}
	default:
		s.schedule(step, func() { s.pollResult(r, w, serve, refuse) })
	}
}

func (s *fleet) schedule(after time.Duration, f func()) {
	heap.Push(&s.events, event{s.now.Add(after), f})
}

// outstanding returns the tokens that routers may still spend without another
// grant.
func (s *fleet) outstanding() float64 {
	var tokens uint64
	for _, r := range s.routers {
		now := r.localTime(s.now)
		r.expire(now)
		tokens += r.held()
		for number, f := range r.inFlight {
			if r.pending != nil && r.pending.Number == number && now.Before(f.expires) {
				tokens += f.tokens
			}
		}
	}
	return float64(tokens)
}

// injectFault causes an owner failover, a router's crash, pause or partition, or a
// change of the rate.
func (s *fleet) injectFault() {
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
		s.routers[i].partitionedUntil = s.now.Add(time.Duration(s.rng.Int64N(int64(8 * time.Second))))
	case 3:
		s.pause(s.routers[i])
	case 4:
		s.setRate(uint64(s.usage.rate*math.Exp(s.rng.NormFloat64()/3)) + 1)
	}
}

// failover stops the current owner and starts another one after the gap.
func (s *fleet) failover(gap time.Duration) {
	s.owners[s.owner].Stop()
	next := (s.owner + 1 + s.rng.IntN(2)) % len(s.owners)
	s.owner = -1
	s.schedule(gap, func() {
		s.owner = next
		s.owners[next].Start(false)
	})
}

func (s *fleet) pause(r *simRouter) {
	r.pausedUntil = s.now.Add(time.Duration(s.rng.Int64N(int64(5 * time.Second))))
}

// event is a function to run at a true time.
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
