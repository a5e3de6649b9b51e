package boragewick

import (
	"context"
	"net/netip"
	"time"
)

// EndpointChange is one change of the set of endpoints.
type EndpointChange struct {
	Endpoint Endpoint `cbor:"endpoint"`
	// Removed reports whether the endpoint is gone; only its name is used then.
	Removed bool `cbor:"removed,omitempty"`
	// Departing reports whether the endpoint leaves for good.
	Departing bool `cbor:"departing,omitempty"`
}

// EndpointObserver is notified of changes of the set of endpoints.
type EndpointObserver interface {
	// Update applies the changes in order. A change without new information has
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

// DispatchObserver is notified of how dispatches end.
type DispatchObserver interface {
	Report(r DispatchReport)
}

// Selection holds the criteria by which an endpoint is chosen.
type Selection struct {
	Workspace ID
	Pool      string
	Kind      EndpointKind
	// Model is zero for plain endpoints.
	Model        Model
	Blocks       []BlockHash
	PromptTokens uint64
	// OutputTokens is the largest number of tokens that the request may generate.
	OutputTokens int
	// LeastWeights is the oldest preferred version of the weights; older ones are
	// used only where the others would keep the request waiting.
	LeastWeights uint64
	// RequiredWeights is the oldest version of the weights on which the request may
	// start. Endpoints that state no version don't qualify; zero means any.
	RequiredWeights uint64
	// AgeUnknown reports whether RequiredWeights counts versions whose age is unknown, as it is
	// for a while after all processes have restarted. As these may have been named just
	// before, CertainWeights applies if no endpoint of the pool has RequiredWeights.
	AgeUnknown     bool
	CertainWeights uint64
	// Builds are those on which the request may run; nil means any. Endpoints without a
	// build qualify unless OnlyBuilds is set.
	Builds     []Build
	OnlyBuilds bool
	// Prefix are the parts of the prompt as the caller names them, used instead
	// of Blocks.
	Prefix []PromptPart
	// CacheScope separates cached parts that must not be shared.
	CacheScope string
	// Stores are the addresses of the stores that hold prompt parts.
	Stores []netip.AddrPort
	// Deadline is when the first token is no longer of any use; zero means never.
	Deadline time.Time
	// Route is the name of the request's route. Target is when the answer no longer has
	// its full value, on the selector's clock; zero means never.
	Route  string
	Target time.Time
	// TargetLatency is the route's; zero if it has none.
	TargetLatency time.Duration
	// Bytes is the estimated size of the request and its answer.
	Bytes int
	// Resumed reports whether a run goes on from a copy of its KV cache at the endpoint. It
	// is set for Placer.Begin only.
	Resumed bool
	// Avoid reports whether to exclude the endpoint of that name; nil excludes
	// none.
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
	// if unknown.
	Weights string
	// Scope separates cached parts that must not be shared.
	Scope string
	// Source is an engine or a store from which this endpoint may fetch the parts
	// of the prompt that it lacks; invalid if there is none.
	Source netip.AddrPort
	// SaveTo is the store that is to receive the parts of the prompt that the
	// engine processes; invalid if there is none.
	SaveTo netip.AddrPort
	// FirstToken is when the first token is expected on the router's clock.
	FirstToken time.Time
	// ServiceMillis is the expected time from sending the request to the first token. It
	// is without what FirstToken contains only to order candidates.
	ServiceMillis float64
	// MemoryUse is the share of the engine's memory that would be in use with the request
	// and those that wait there; above 1 the request waits or another one is preempted.
	// Zero if unknown.
	MemoryUse float64
	// Requests are those that run and wait at the engine as its agent reported last, Unread
	// those of them whose prompt has not been prefilled, and Slots is how many run there at
	// once; zero if unknown.
	Requests, Unread, Slots int
	// ZoneReason is why the request may leave the router's zone; empty if the endpoint is
	// in that zone or zones are not considered.
	ZoneReason ZoneReason
	// Limit is the limit that the endpoint names; nil without one.
	Limit *EndpointLimit
	// Probed reports whether the agent answered a probe for this request.
	Probed bool
}

// DispatchReport is the outcome of a dispatch to an endpoint.
type DispatchReport struct {
	Endpoint string
	// Incarnation is the run of the agent to which the request was sent.
	Incarnation Incarnation
	// Err is nil after a complete answer.
	Err error
}

// Placer is a Selector that is notified of the requests sent to its candidates.
type Placer interface {
	Selector
	// Begin records that the request is sent to the candidate.
	Begin(c *Candidate, s *Selection) Flight
	// Defer leaves out the candidate's endpoint until the given time, and somewhat longer
	// if many routers share its limit.
	Defer(c *Candidate, until time.Time)
}

// Flight is one request in flight at an endpoint. End must be called.
type Flight interface {
	// Answered records what the head of the answer says of the endpoint.
	Answered(r *Reply)
	// Started records the first token.
	Started()
	// Left is closed once the endpoint no longer accepts new work.
	Left() <-chan struct{}
	// DepartedFor returns how long the endpoint has been known to leave for good; zero if it
	// isn't.
	DepartedFor() time.Duration
	// Lost returns a channel that is closed once the endpoint's agent can't reach it. Once
	// the agent reaches it again, Lost returns another one.
	Lost() <-chan struct{}
	// WeightsChange tells whether the engine may have changed its weights under the request.
	WeightsChange() WeightsChange
	// WeightsReport returns what WeightsChange goes by; the zero value if nothing is known.
	WeightsReport() WeightsReport
	End()
}

// WeightsReport is what an engine's agent has last reported of the weights of a request's model.
type WeightsReport struct {
	Version uint64
	// Busy reports whether an order was in progress.
	Busy bool
	// At is when a report last arrived that the agent had reached the engine; zero without one.
	At time.Time
}

// WeightsChange tells whether an engine has changed its weights under a request. An order that
// is in progress counts as a change, as it may have ended since it was reported.
type WeightsChange int

// The zero value is that of an engine whose agent does not report.
const (
	WeightsChangeUnknown WeightsChange = iota
	WeightsUnchanged
	WeightsChanged
)
