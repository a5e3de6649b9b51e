package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/admission"
	"github.com/boragewick/boragewick/index"
)

// slow is an engine that computes 1000 prompt tokens a second and then takes
// another second for its answer.
func slow(_ context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	if r.Stream {
		_ = emit(boragewick.Chunk{Number: 1, Head: &boragewick.Head{}})
	}
	time.Sleep(time.Duration(r.PromptTokens) * time.Millisecond)
	if r.Stream {
		_ = emit(boragewick.Chunk{Number: 2, Data: []byte("token")})
	}
	time.Sleep(time.Second)
	return emit(boragewick.Chunk{Data: []byte("rest"), End: &boragewick.End{}})
}

func TestGate(t *testing.T) {
	blocks := []boragewick.BlockHash{1, 2, 3, 4}
	tests := map[string]struct {
		stream bool
		// before is how long the request has run when the probe comes.
		before   time.Duration
		probe    boragewick.Probe
		queued   uint64
		first    time.Duration
		matched  int
		refuse   bool
		deadline time.Duration
	}{
		"during the prefill":      {stream: true, before: 500 * time.Millisecond, probe: boragewick.Probe{PromptTokens: 100}, queued: 1000, first: 1100 * time.Millisecond},
		"after the first token":   {stream: true, before: 1500 * time.Millisecond, probe: boragewick.Probe{PromptTokens: 100}, first: 100 * time.Millisecond},
		"after the answer":        {stream: true, before: 2500 * time.Millisecond, probe: boragewick.Probe{PromptTokens: 100}, first: 100 * time.Millisecond},
		"a prefix is cached":      {stream: true, before: 1500 * time.Millisecond, probe: boragewick.Probe{PromptTokens: 228, Blocks: []boragewick.BlockHash{1, 2, 9}}, matched: 2, first: 100 * time.Millisecond},
		"too late":                {stream: true, before: 500 * time.Millisecond, probe: boragewick.Probe{PromptTokens: 100}, queued: 1000, first: 1100 * time.Millisecond, deadline: time.Second, refuse: true},
		"just in time":            {stream: true, before: 500 * time.Millisecond, probe: boragewick.Probe{PromptTokens: 100}, queued: 1000, first: 1100 * time.Millisecond, deadline: 1100 * time.Millisecond},
		"whole, prefill presumed": {before: 1001 * time.Millisecond, probe: boragewick.Probe{PromptTokens: 100}, first: 100 * time.Millisecond},
		"whole, still computed":   {before: 999 * time.Millisecond, probe: boragewick.Probe{PromptTokens: 100}, queued: 1000, first: 1100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &Gate{Engine: boragewick.EngineFunc(slow), Admission: &admission.Queue{}, Cache: &index.Index{}}
				run := func(r boragewick.Request) {
					if err := g.Run(t.Context(), &r, func(boragewick.Chunk) error { return nil }); err != nil {
						t.Error(err)
					}
				}
				run(boragewick.Request{PromptTokens: 1000, Stream: true})
				go run(boragewick.Request{PromptTokens: 1000, Stream: tt.stream, Blocks: blocks})
				if tt.matched == 0 {
					tt.probe.Blocks = []boragewick.BlockHash{9}
				}
				time.Sleep(tt.before)
				now := time.Now()
				if tt.deadline > 0 {
					tt.probe.Deadline = now.Add(tt.deadline)
				}
				got := g.Probe(&tt.probe)
				if got.Queued != tt.queued || got.FirstToken.Sub(now) != tt.first || got.Matched != tt.matched || got.Refuse != tt.refuse {
					t.Errorf("got %+v, first token in %s", got, got.FirstToken.Sub(now))
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestGateRefuses(t *testing.T) {
	ran := false
	engine := boragewick.EngineFunc(func(context.Context, *boragewick.Request, func(boragewick.Chunk) error) error {
		ran = true
		return nil
	})
	g := &Gate{Engine: engine, Admission: &admission.Queue{}}
	err := g.Run(t.Context(), &boragewick.Request{Deadline: time.Unix(0, 0)}, nil)
	if !errors.Is(err, boragewick.ErrOverloaded) || !errors.Is(err, boragewick.ErrNotRun) || ran {
		t.Errorf("got %v, ran %t", err, ran)
	}
}
