package boragewick

import (
	"context"
	"net/netip"
	"time"
)

// EndpointChange is one change of the set of endpoints.
type EndpointChange struct {
	Endpoint Endpoint `cbor:"endpoint"`
	// Removed tells that the endpoint is gone; only its name counts then.
	Removed bool `cbor:"removed,omitempty"`
}

// EndpointObserver is told which endpoints there are.
type EndpointObserver interface {
	// Update applies the changes in order. A change that says nothing new has
	// no effect.
	Update(changes ...EndpointChange)
}

// Prober asks one endpoint's agent how it would serve a request.
type Prober interface {
	// Probe returns as soon as ctx is done.
	Probe(ctx context.Context, e *Endpoint, p *Probe) (ProbeReply, error)
}

// ProberFunc adapts a function to a Prober.
type ProberFunc func(ctx context.Context, e *Endpoint, p *Probe) (ProbeReply, error)

// Probe calls f(ctx, e, p).
func (f ProberFunc) Probe(ctx context.Context, e *Endpoint, p *Probe) (ProbeReply, error) {
	return f(ctx, e, p)
}

// Selector chooses among the endpoints that can serve a request.
type Selector interface {
	EndpointObserver
	// Select returns candidates, the best one first, or ErrNoEndpoint marked
	// not run.
	Select(ctx context.Context, s Selection) ([]Candidate, error)
}

// DispatchObserver is told how dispatches end.
type DispatchObserver interface {
	Report(r DispatchReport)
}

// Selection is what the choice of an endpoint depends on.
type Selection struct {
	Workspace ID
	Pool      string
	Kind      EndpointKind
	// Model is zero for plain endpoints.
	Model        Model
	Blocks       []BlockHash
	PromptTokens uint64
	// LeastWeights is the oldest version of the weights that is still wanted;
	// older ones are used only when there is no other.
	LeastWeights uint64
	// Prefix are the parts of the prompt as the caller names them, in place of
	// Blocks.
	Prefix []PromptPart
	// CacheScope keeps cached parts apart that must not be shared.
	CacheScope string
	// Stores are those that keep parts of prompts.
	Stores []netip.AddrPort
	// Deadline is when the first token is worth nothing any more; zero means
	// never.
	Deadline time.Time
	// Avoid tells which endpoints to leave out by name; nil avoids none.
	Avoid func(endpoint string) bool
}

// Candidate is one endpoint that can serve a request.
type Candidate struct {
	// Endpoint must not be changed.
	Endpoint *Endpoint
	// Matched is the number of leading blocks that the engine has cached, as
	// far as known.
	Matched int
	// Weights is the version of the model's weights that the engine has; empty
	// when it isn't known.
	Weights string
	// Scope keeps cached parts apart that must not be shared.
	Scope string
	// Source is an engine or a store from which this one may fetch what it lacks
	// of the prompt; invalid without one.
	Source netip.AddrPort
	// Keep is the store that is to get the parts of the prompt which the engine
	// reads; invalid without one.
	Keep netip.AddrPort
	// FirstToken is when the first token is expected on the router's clock.
	FirstToken time.Time
	// Probed tells that the agent answered a probe for this request.
	Probed bool
}

// DispatchReport is how a dispatch to an endpoint ended.
type DispatchReport struct {
	Endpoint string
	// Incarnation is the run of the agent that the request was sent to.
	Incarnation Incarnation
	// Err is nil after a whole answer.
	Err error
}

// Placer is a Selector that is told of the requests which go where it says.
type Placer interface {
	Selector
	// Begin notes that the request is sent to the candidate.
	Begin(c *Candidate, s *Selection) Flight
}

// Flight is one request on its way at an endpoint. End must be called.
type Flight interface {
	// Answered notes the load that the answer tells; nil when it doesn't.
	Answered(q *EndpointQueue)
	// Started notes the first token.
	Started()
	// Left is closed once the endpoint takes no new work any more.
	Left() <-chan struct{}
	// Lost is closed once the agent beside the endpoint can't reach it.
	Lost() <-chan struct{}
	End()
}
