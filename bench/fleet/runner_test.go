package fleet

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

func newRunner() (*Runner, *Scheduler) {
	a := NewScheduler(time.Unix(1000, 0))
	return NewRunner(boragewick.Endpoint{Name: "r"}, a, 1), a
}

// newJob returns a job for n consecutive blocks starting with first, the matched
// counts passed to Started, and the numbers of first tokens and of failures.
func newJob(first, n int) (*Job, *[]int, *int, *int) {
	var started []int
	var tokens, failed int
	j := &Job{
		PromptTokens: uint64(n * boragewick.BlockTokens), OutputTokens: 10,
		Started:    func(matched int) { started = append(started, matched) },
		FirstToken: func() { tokens++ },
		Failed:     func() { failed++ },
	}
	for i := range n {
		j.Blocks = append(j.Blocks, boragewick.BlockHash(first+i))
	}
	return j, &started, &tokens, &failed
}

func TestSecondRequestHitsCache(t *testing.T) {
	r, a := newRunner()
	one, oneStarted, oneTokens, _ := newJob(1, 100)
	two, twoStarted, twoTokens, _ := newJob(1, 120)
	r.Send(one)
	r.Send(two)
	probe := &boragewick.Probe{Blocks: one.Blocks, PromptTokens: one.PromptTokens}
	if p := r.Probe(probe); p.Matched != 100 || p.Queued != 120*boragewick.BlockTokens {
		t.Errorf("before the first prefill: %+v", p)
	}
	a.Run(time.Unix(1010, 0))
	if (*oneStarted)[0] != 0 || (*twoStarted)[0] != 100 || *oneTokens+*twoTokens != 2 {
		t.Errorf("matched %v and %v, %d first tokens", *oneStarted, *twoStarted, *oneTokens+*twoTokens)
	}
	if p := r.Probe(probe); p.Matched != 100 || p.Queued != 0 || p.Running != 0 {
		t.Errorf("after both requests: %+v", p)
	}
}

func TestCrashFailsAndStartsCold(t *testing.T) {
	r, a := newRunner()
	warm, _, _, _ := newJob(1, 100)
	r.Send(warm)
	a.Run(time.Unix(1010, 0))
	caught, _, tokens, failed := newJob(200, 100)
	waiting, _, _, waitingFailed := newJob(400, 100)
	r.Send(caught)
	r.Send(waiting)
	r.Crash()
	if *failed != 1 || *waitingFailed != 1 {
		t.Errorf("%d and %d failures", *failed, *waitingFailed)
	}
	probe := &boragewick.Probe{Blocks: warm.Blocks, PromptTokens: warm.PromptTokens}
	if !r.Probe(probe).Refuse || r.Send(caught) {
		t.Error("a crashed engine accepted a job")
	}
	a.Run(time.Unix(1020, 0))
	if p := r.Probe(probe); p.Refuse || p.Matched != 0 || r.Matched(warm.Blocks) != 0 {
		t.Errorf("after the restart %+v", p)
	}
	if *tokens != 0 {
		t.Error("a request that failed in the crash got a first token")
	}
}

func TestCacheEvictsTheEndOfOldPrompts(t *testing.T) {
	c := NewCache(5)
	c.Insert([]boragewick.BlockHash{1, 2, 3})
	stored, removed := c.Insert([]boragewick.BlockHash{1, 4, 5, 6})
	if len(stored) != 3 || len(removed) != 1 || removed[0] != 3 {
		t.Errorf("stored %v, removed %v", stored, removed)
	}
	if n := c.Matched([]boragewick.BlockHash{1, 2, 3}); n != 2 {
		t.Errorf("matched %d, want 2", n)
	}
}

func TestSchedulerRunsInOrder(t *testing.T) {
	a := NewScheduler(time.Unix(0, 0))
	var got []int
	add := func(n int) func() { return func() { got = append(got, n) } }
	a.After(2, add(3))
	a.After(1, add(1))
	a.After(1, add(2))
	a.After(9, add(4))
	a.Run(time.Unix(5, 0))
	if len(got) != 3 || got[0] != 1 || got[1] != 2 || got[2] != 3 {
		t.Errorf("ran %v", got)
	}
}
