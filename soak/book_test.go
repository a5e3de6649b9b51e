package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// The bounds of the deployment under test, which its settings give to the
// processes and the checks go by.
const (
	contact        = 3 * time.Second
	grace          = 8 * time.Second
	applyWithin    = 2 * time.Second
	recoverWithin  = 12 * time.Second
	weightsWithin  = 10 * time.Second
	handOver       = 400 * time.Millisecond
	windowOfRates  = 8 * time.Second
	excessOfRates  = 0.1
	slackOfRates   = 3000
	windowOfBudget = 10 * time.Second
	retryFraction  = 0.2
	retryBurst     = 60
	heartbeat      = 300 * time.Millisecond
)

// ask is one request of a caller.
type ask struct {
	id, path, tenant, body string
	route                  *route
	tokens                 int
	sent                   time.Time
	runs                   []*run
	arrivals               []time.Time
	refused                int
}

// run is the work of an endpoint on a request.
type run struct {
	endpoint string
	began    time.Time
	ended    time.Time
	seal     string
	body     string
}

// book holds what callers, operators and endpoints have seen, and what they have
// found wrong.
type book struct {
	mu       sync.Mutex
	start    time.Time
	asks     map[string]*ask
	broken   []string
	counts   map[string]int
	acked    int
	ackedAt  map[int]time.Time
	sentDocs map[int][]string
	readDocs map[int]int // which of those was read
	named    int         // the newest weights that were sent
	confirms int         // the newest weights that were acknowledged
	orders   map[string]map[uint64]string
	// troubles and works count the faults and the planned changes in force;
	// calm and quiet are when the last of them ended.
	troubles, works int
	calm, quiet     time.Time
}

func newBook() *book {
	return &book{
		start: time.Now(), asks: map[string]*ask{}, counts: map[string]int{}, ackedAt: map[int]time.Time{},
		sentDocs: map[int][]string{}, readDocs: map[int]int{}, named: 1, orders: map[string]map[uint64]string{},
	}
}

// wrong records a broken promise.
func (b *book) wrong(promise, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wrongLocked(promise, format, args...)
}

func (b *book) wrongLocked(promise, format string, args ...any) {
	b.broken = append(b.broken, fmt.Sprintf("%6.2fs %s: %s", time.Since(b.start).Seconds(), promise, fmt.Sprintf(format, args...)))
}

// trouble records a fault until the function that it returns is called.
func (b *book) trouble() (over func()) { return b.during(&b.troubles, &b.quiet) }

// work records a planned change until the function that it returns is called.
func (b *book) work() (over func()) { return b.during(&b.works, &b.calm) }

func (b *book) during(active *int, ended *time.Time) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	*active++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		*active--
		*ended = time.Now()
	}
}

// quietSince reports whether no fault has been in force since then.
func (b *book) quietSince(t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.troubles == 0 && b.quiet.Before(t)
}

// calmSince reports whether neither a fault nor a planned change has been in
// force since then.
func (b *book) calmSince(t time.Time) bool {
	quiet := b.quietSince(t)
	b.mu.Lock()
	defer b.mu.Unlock()
	return quiet && b.works == 0 && b.calm.Before(t)
}

func (b *book) count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[what]++
}

func (b *book) record(a *ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.sent = time.Now()
	b.asks[a.id] = a
}

// arrive records that a request has reached an endpoint of the pool.
func (b *book) arrive(id, pool, path, tenant, body string) *ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.asks[id]
	switch {
	case a == nil:
		b.wrongLocked("UNASKED", "nobody sent %q", id)
		return nil
	case a.path != path || a.body != body:
		b.wrongLocked("UNASKED", "%s arrives as %s with %d bytes, sent as %s with %d", id, path, len(body), a.path, len(a.body))
	case a.tenant != tenant:
		b.wrongLocked("UNASKED", "%s of %s arrives for %q", id, a.tenant, tenant)
	case a.route.pool != pool:
		b.wrongLocked("ROUTE", "%s for %s arrives at %s", id, a.route.pool, pool)
	}
	a.arrivals = append(a.arrivals, time.Now())
	return a
}

// begin records that an endpoint begins to work. Going on from moved memory is
// the same run.
func (b *book) begin(a *ask, endpoint string, goesOn bool) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &run{endpoint: endpoint, began: time.Now()}
	for _, earlier := range a.runs {
		switch {
		case !a.route.repeatable && !goesOn:
			b.wrongLocked("TWICE", "%s begins at %s and ran at %s", a.id, endpoint, earlier.endpoint)
		case goesOn && earlier.ended.IsZero():
			time.AfterFunc(handOver, func() { b.stillRuns(a, earlier, endpoint) })
		}
	}
	if a.refused > 0 && !a.route.repeatable {
		b.wrongLocked("REFUSED", "%s was answered %d and begins at %s", a.id, a.refused, endpoint)
	}
	a.runs = append(a.runs, r)
	return r
}

// stillRuns checks that a run has ended that goes on elsewhere.
func (b *book) stillRuns(a *ask, earlier *run, endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if earlier.ended.IsZero() {
		b.wrongLocked("TWICE", "%s goes on at %s and still runs at %s", a.id, endpoint, earlier.endpoint)
	}
}

func (b *book) finishRun(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.ended = time.Now()
}

// refuse records an answer that says that the request hasn't run.
func (b *book) refuse(a *ask, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.refused = status
	if len(a.runs) > 0 && !a.route.repeatable {
		b.wrongLocked("REFUSED", "%s ran at %s and is answered %d", a.id, a.runs[0].endpoint, status)
	}
}

// order records an accepted order.
func (b *book) order(endpoint, holder string, fence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.orders[endpoint] == nil {
		b.orders[endpoint] = map[uint64]string{}
	}
	if other, ok := b.orders[endpoint][fence]; ok && other != holder {
		b.wrongLocked("ONE", "%s and %s give orders to %s with fence %d", other, holder, endpoint, fence)
	}
	b.orders[endpoint][fence] = holder
}

// finish checks what can be judged at the end only.
func (b *book) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	over := 0
	for _, a := range b.asks {
		if len(a.runs) > a.route.attempts {
			over++
		}
	}
	if over > 3 {
		b.wrongLocked("BUDGET", "%d requests run more often than their route allows", over)
	}
	b.checkRates()
	b.checkRetries()
}

// checkRates compares the tokens that run in any window with the rate.
func (b *book) checkRates() {
	for _, t := range tenants {
		if t.rate == 0 {
			continue
		}
		var ran []*ask
		for _, a := range b.asks {
			if a.tenant == t.name && len(a.runs) > 0 {
				ran = append(ran, a)
			}
		}
		slices.SortFunc(ran, func(x, y *ask) int { return x.sent.Compare(y.sent) })
		bound := (t.rate*windowOfRates.Seconds()+t.rate)*(1+excessOfRates) + slackOfRates
		sum, from := 0, 0
		for _, a := range ran {
			for sum += a.tokens; a.sent.Sub(ran[from].sent) > windowOfRates; from++ {
				sum -= ran[from].tokens
			}
			if float64(sum) > bound {
				b.wrongLocked("QUOTA", "%s runs %d tokens within %s, allowed are %.0f", t.name, sum, windowOfRates, bound)
				break
			}
		}
	}
}

// checkRetries compares the arrivals beyond the first of each request in any
// window with the budget.
func (b *book) checkRetries() {
	for _, pool := range []string{modelPool, deskPool} {
		var sent, again []time.Time
		for _, a := range b.asks {
			if a.route.pool != pool {
				continue
			}
			sent = append(sent, a.sent)
			if len(a.arrivals) > 1 {
				again = append(again, a.arrivals[1:]...)
			}
		}
		slices.SortFunc(again, time.Time.Compare)
		within := func(from time.Time) (k int) {
			for _, at := range sent {
				if d := at.Sub(from); d >= 0 && d < windowOfBudget {
					k++
				}
			}
			return k
		}
		from := 0
		for i, at := range again {
			for at.Sub(again[from]) > windowOfBudget {
				from++
			}
			if i+1-from <= retryBurst {
				continue
			}
			start := again[from]
			asked := max(within(start), within(start.Add(-windowOfBudget/2)), within(start.Add(-windowOfBudget)))
			if bound := retryFraction*float64(asked) + retryBurst; float64(i+1-from) > bound {
				b.wrongLocked("BUDGET", "%s gets %d retries within %s, allowed are %.0f", pool, i+1-from, windowOfBudget, bound)
				break
			}
		}
	}
}

// summary tells what happened.
func (b *book) summary() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := fmt.Sprintf("%d requests", len(b.asks))
	for _, what := range slices.Sorted(maps.Keys(b.counts)) {
		s += fmt.Sprintf(", %s %d", what, b.counts[what])
	}
	return s + fmt.Sprintf(", configuration %d, weights %d", b.acked, b.confirms)
}
