package unrepeatable

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/claims"
	"github.com/boragewick/boragewick/takes"
)

var seedFlag = flag.Uint64("seed", 0, "run the random fault test with this seed alone")

// network delays messages to the log and the agent, loses and repeats some of
// them, and counts the runs of the endpoint.
type network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	claims    claims.Claims
	takes     *takes.AgentClaims
	agentRuns int
	// draining makes the agent's current run refuse all requests.
	draining       bool
	keyRuns        map[string]int
	requestRuns    map[boragewick.RequestID]int
	lateDeliveries sync.WaitGroup
}

func (n *network) chance(probability float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64() < probability
}

func (n *network) sleep(limit time.Duration) { time.Sleep(n.delay(limit)) }

func (n *network) delay(limit time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.Int64N(int64(limit)))
}

// call delivers a message, perhaps late or twice, and may lose the answer.
func (n *network) call(f func() error) error {
	n.sleep(20 * time.Millisecond)
	if n.chance(0.15) {
		n.deliverLate(f)
		return boragewick.ErrLinkLost
	}
	if n.chance(0.15) {
		n.deliverLate(f)
	}
	err := f()
	n.sleep(20 * time.Millisecond)
	if n.chance(0.15) {
		return boragewick.ErrLinkLost
	}
	return err
}

func (n *network) deliverLate(f func() error) {
	delay := n.delay(3 * time.Second)
	n.lateDeliveries.Go(func() {
		time.Sleep(delay)
		_ = f()
	})
}

func (n *network) Claim(_ context.Context, c boragewick.Claim) (result boragewick.ClaimResult, err error) {
	answers := make(chan boragewick.ClaimResult, 2)
	err = n.call(func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		r, err := n.claims.Claim(time.Now(), c)
		answers <- r
		return err
	})
	if err == nil {
		result = <-answers
	}
	return result, err
}

func (n *network) Settle(_ context.Context, s boragewick.Settlement) (boragewick.ClaimRecord, error) {
	return boragewick.ClaimRecord{}, n.call(func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		_, err := n.claims.Settle(time.Now(), s)
		return err
	})
}

func (n *network) Revoke(_ context.Context, _ *boragewick.Endpoint, c boragewick.Claim) (boragewick.Revocation, error) {
	answers := make(chan bool, 2)
	err := n.call(func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		revoked, err := n.takes.Revoke(time.Now(), c)
		answers <- revoked
		return err
	})
	if err != nil {
		return boragewick.Revocation{}, err
	}
	return boragewick.Revocation{Revoked: <-answers}, nil
}

// Send is the link to the agent and the agent itself.
func (n *network) Send(ctx context.Context, _ *boragewick.Endpoint, r *boragewick.Request, emit boragewick.Emit) error {
	err := n.call(func() error {
		n.mu.Lock()
		if n.draining {
			n.mu.Unlock()
			return boragewick.NotRun(boragewick.ErrDraining)
		}
		err := n.takes.Take(time.Now(), *r.Claim)
		if err == nil {
			n.keyRuns[r.Claim.Key]++
			n.requestRuns[r.ID]++
		}
		n.mu.Unlock()
		if err != nil {
			return err
		}
		n.sleep(200 * time.Millisecond)
		_, _ = n.Settle(ctx, boragewick.Settlement{
			Workspace: r.Claim.Workspace, Key: r.Claim.Key, Request: r.Claim.Request, Attempt: r.Claim.Attempt,
			State: boragewick.ClaimDone, Answer: &boragewick.StoredAnswer{Head: boragewick.Head{Status: 200}},
		})
		return nil
	})
	if err != nil {
		return err
	}
	return emit(boragewick.Chunk{Request: r.ID, Number: 1, End: &boragewick.End{}})
}

// restart replaces the agent with a new run.
func (n *network) restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agentRuns++
	n.draining = false
	n.takes = &takes.AgentClaims{Agent: boragewick.Incarnation(fmt.Sprintf("run-%d", n.agentRuns))}
}

func (n *network) drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

func (n *network) endpoint() *boragewick.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &boragewick.Endpoint{Name: "ledger-1", Incarnation: n.takes.Agent}
}

// pay sends one request as a router does, and retries it immediately, at most
// twice, if it was not run.
func (n *network) pay(key string, id boragewick.RequestID) (err error) {
	s := &Sender{Next: n, Claims: n, Revoker: n, Clock: boragewick.SystemClock}
	r := &boragewick.Request{ID: id, Claim: &boragewick.Claim{Workspace: "ws", Key: key, Request: id}}
	for range 3 {
		err = s.Send(context.Background(), n.endpoint(), r, func(boragewick.Chunk) error { return nil })
		if !errors.Is(err, boragewick.ErrNotRun) {
			return err
		}
	}
	return err
}

// TestRunsAtMostOnceUnderRandomFaults has several routers send the same keys
// while messages are delayed, lost and repeated and the agent restarts.
func TestRunsAtMostOnceUnderRandomFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	if *seedFlag != 0 {
		seeds = []uint64{*seedFlag}
	}
	for _, seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			n := &network{rng: rand.New(rand.NewPCG(seed, 3)), keyRuns: map[string]int{}, requestRuns: map[boragewick.RequestID]int{}}
			n.restart()
			n.payAll(t)
			if t.Failed() {
				t.Logf("replay with: go test ./unrepeatable -run RandomFaults -seed %d", seed)
			}
		})
	}
}

func (n *network) payAll(t *testing.T) {
	const keys, callers = 60, 4
	var wg sync.WaitGroup
	results := make([]error, keys*callers)
	for i := range results {
		delay := n.delay(5 * time.Second)
		wg.Go(func() {
			time.Sleep(delay)
			results[i] = n.pay(fmt.Sprint("key-", i%keys), boragewick.RequestID(fmt.Sprint("req-", i)))
		})
	}
	interval := 300*time.Millisecond + n.delay(time.Second)
	wg.Go(func() {
		for range 10 {
			time.Sleep(interval / 2)
			n.drain()
			time.Sleep(interval / 4)
			n.restart()
		}
	})
	wg.Wait()
	n.lateDeliveries.Wait()
	ran := 0
	for key, runs := range n.keyRuns {
		ran += runs
		if runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
	for i, err := range results {
		id := boragewick.RequestID(fmt.Sprint("req-", i))
		if errors.Is(err, boragewick.ErrNotRun) && n.requestRuns[id] > 0 {
			t.Errorf("%s was told %v and ran", id, err)
		}
	}
	if ran < keys/4 {
		t.Errorf("%d of %d keys ran: the faults leave too little", ran, keys)
	}
}
