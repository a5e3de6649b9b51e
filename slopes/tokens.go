package slopes

import (
	"context"
	"io"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/agents"
	"github.com/boragewick/boragewick/ws"
)

const (
	// eventBytes is the size of the event in which engines send a token.
	eventBytes = 250
	// longEventBytes is the size of a token's event with probabilities.
	longEventBytes = 1000
	// tokenInterval is the time between two tokens of one answer.
	tokenInterval = 64 * time.Millisecond
	// pacedTokens is the number of tokens in such an answer.
	pacedTokens = 30
)

// tokenCosts returns the measurements of forwarding tokens from an agent to a
// router, and of the whole path from an engine to a caller.
func tokenCosts() []measurement {
	tokens := []int{5000, 10_000, 20_000}
	streams := []int{25, 50, 100}
	return []measurement{
		{name: "token of 250 B: wire", unit: unitBytes, per: "token", sizes: tokens, cost: relayBytes},
		{name: "token of 250 B, poured: agent and router", unit: unitCPU, per: "token", sizes: tokens, cost: relayTime(eventBytes)},
		{name: "token of 1,000 B, poured: agent and router", unit: unitCPU, per: "token", sizes: tokens, cost: relayTime(longEventBytes)},
		{name: "30 tokens every 64 ms: agent and router", unit: unitCPU, per: "answer", sizes: streams, cost: pacedTime},
		{name: "30 tokens every 64 ms: engine, agent, router and caller", unit: unitCPU, per: "answer", sizes: streams, cost: endToEndTime},
	}
}

// receive sends a request to the endpoint's agent and receives the whole answer.
func receive(ctx context.Context, p *agents.Pool, e *boragewick.Endpoint) error {
	return p.Send(ctx, e, request(), func(boragewick.Chunk) error { return nil })
}

func relayBytes(ctx context.Context, size int) (float64, error) {
	w := newCountedLink(newAgent(size, eventBytes).Handle)
	defer func() { _ = w.Close() }()
	r := request()
	r.Target = endpoint(0).Incarnation
	s, err := w.Open(ctx, boragewick.MethodDispatch, r)
	if err != nil {
		return 0, err
	}
	for {
		var c boragewick.Chunk
		if err := s.Recv(ctx, &c); err != nil {
			return 0, err
		}
		if c.End != nil {
			return float64(w.bytes.Load()), nil
		}
	}
}

func relayTime(event int) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, size int) (float64, error) {
		return relay(ctx, newAgent(size, event).Handle, 1)
	}
}

func pacedTime(ctx context.Context, size int) (float64, error) {
	a := newAgent(0, 0)
	a.Engine = pacedEngine()
	return relay(ctx, a.Handle, size)
}

// relay receives the given number of concurrent answers over a link on the
// loopback and returns the processor time.
func relay(ctx context.Context, register func(handle func(string, boragewick.Handler)), answers int) (float64, error) {
	addr, stop, err := listenLinks(ctx, register)
	if err != nil {
		return 0, err
	}
	defer stop()
	e := endpoint(0)
	e.Agent = addr
	p := &agents.Pool{Dialer: &ws.Transport{}}
	defer closeLink(p, &e)
	return processorTime(func() error {
		return runConcurrently(answers, func() error { return receive(ctx, p, &e) })
	})
}

// closeLink closes the link to the endpoint's agent.
func closeLink(p *agents.Pool, e *boragewick.Endpoint) {
	if c, ok := p.Peer(e).(io.Closer); ok {
		_ = c.Close()
	}
}

// pacedEngine returns an engine that emits one token per tokenInterval.
func pacedEngine() boragewick.Engine {
	data := make([]byte, eventBytes)
	return boragewick.EngineFunc(func(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
		ticker := time.NewTicker(tokenInterval)
		defer ticker.Stop()
		for n := range uint64(pacedTokens) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
			if err := emit(boragewick.Chunk{Request: r.ID, Number: n + 1, Data: data}); err != nil {
				return err
			}
		}
		return emit(boragewick.Chunk{Request: r.ID, Number: pacedTokens + 1, End: &boragewick.End{}})
	})
}
