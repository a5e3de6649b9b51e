package boragewick

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// PromptPart is one part of a request's prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Inbound is what a router reads from the head of a caller's request.
type Inbound struct {
	ID   RequestID
	Host string
	// Path is the escaped path without the query.
	Path string
	// Key is the caller's key; empty without one.
	Key string
	// Patience is how long the caller waits; zero when it doesn't say.
	Patience time.Duration
	Model    string
	// PromptTokens and OutputTokens are zero without Counted.
	PromptTokens int
	OutputTokens int
	Counted      bool
	Prefix       []PromptPart
	// LastEvent is the newest event that the caller has; empty at the start.
	LastEvent string
}

// Forward is what a router adds to a request for one endpoint.
type Forward struct {
	Endpoint string
	// Workspace is empty on routes that are open to all.
	Workspace string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// CacheScope keeps cached parts apart that must not be shared.
	CacheScope string
	// Weights is the version without which the endpoint must not run the
	// request; empty leaves it open.
	Weights string
	// FetchFrom is an engine or a store that has parts of the prompt cached;
	// invalid without one.
	FetchFrom netip.AddrPort
	// KeepAt is a store that gets the parts of the prompt once they are read;
	// invalid without one.
	KeepAt netip.AddrPort
	// Urgency is the engine's priority, 0 to 9; negative leaves it out.
	Urgency int
	// LastEvent is the event after which a stream goes on.
	LastEvent string
	// BackupTo is an engine that gets the run's memory as it grows; invalid
	// without one.
	BackupTo netip.AddrPort
	// ResumeFrom names the copy of the run's memory with which it goes on.
	ResumeFrom string
}

// Reply is what a router reads from the head of an endpoint's answer.
type Reply struct {
	// ID is the request that the answer belongs to.
	ID RequestID
	// NotRun tells that the endpoint states that it did not run the request.
	NotRun bool
	// Load is nil when the endpoint doesn't tell it.
	Load *EndpointQueue
}

// EndpointQueue is the load of an endpoint as its answers tell it.
type EndpointQueue struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect reads and writes the heads of requests and answers in the form that
// callers and endpoints speak.
type Dialect interface {
	// Inbound returns ErrMalformed for a head that can't be read.
	Inbound(r *http.Request) (Inbound, error)
	// Outbound returns the header for the endpoint, without what the caller
	// must not set.
	Outbound(caller http.Header, f Forward) http.Header
	Reply(status int, h http.Header) Reply
}

// LoadOrder tells an endpoint to load a version of a model's weights.
type LoadOrder struct {
	Endpoint string
	Addr     netip.AddrPort
	Model    string
	Version  uint64
	// Method tells what becomes of running requests.
	Method LoadMethod
	// Holder and Fence are the leader and its term.
	Holder string
	Fence  uint64
	// After is the number of orders that the endpoint has accepted before.
	After uint64
}

// LoadMethod tells what becomes of requests that run while weights are loaded.
type LoadMethod string

// The ways to load weights.
const (
	// LoadWait lets running requests finish first.
	LoadWait LoadMethod = "wait"
	// LoadTruncate breaks their streams off.
	LoadTruncate LoadMethod = "truncate"
	// LoadRetain lets them go on with the new weights.
	LoadRetain LoadMethod = "retain"
)

// EngineReport is the state that an engine reports when it is asked.
type EngineReport struct {
	// Busy tells that an order is being carried out.
	Busy    bool
	Weights map[string]uint64
	// Orders counts the orders that were accepted.
	Orders uint64
	// Queued, Active and Prefilling count requests; Prefilling ones are active
	// and have had no token.
	Queued     int
	Active     int
	Prefilling int
	// Used and Total are tokens of memory; Used can't be given up.
	Used  int
	Total int
}

// EngineProbe reads the state and the cache events of an engine.
type EngineProbe interface {
	Report(ctx context.Context, endpoint string, addr netip.AddrPort) (EngineReport, error)
	// Events returns the changes of the cache after a position. It waits for
	// some for as long as it is told.
	Events(ctx context.Context, addr netip.AddrPort, since int64, wait time.Duration) (EngineEvents, error)
}

// Loader gives orders to engines and reads their reports.
type Loader interface {
	Report(ctx context.Context, endpoint string, addr netip.AddrPort) (EngineReport, error)
	// Load returns nil when the order is accepted or already holds, ErrFenced
	// after an order with a higher fence, ErrOverloaded while another order is
	// carried out, and ErrEndpointFailed when it is refused for good. After any
	// other error the order may still be carried out.
	Load(ctx context.Context, o *LoadOrder) error
}

// Mover moves running requests between engines.
type Mover interface {
	// Move stops the run of the request at the endpoint and copies its memory to
	// the engine at the target. It returns a name for the copy with which the
	// run goes on there. With an error and a name, the run has stopped and goes
	// on at the endpoint; without a name it was left alone.
	Move(ctx context.Context, e *Endpoint, id RequestID, target netip.AddrPort) (string, error)
	// Backup returns the name of the copy that the engine at the address has of
	// a run whose Forward named it in BackupTo.
	Backup(addr netip.AddrPort, id RequestID) string
}
