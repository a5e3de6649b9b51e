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

// Inbound holds the values that a router reads from the head of a caller's
// request.
type Inbound struct {
	ID   RequestID
	Host string
	// Path is the escaped path without the query.
	Path string
	// Key is the caller's key; empty if there is none.
	Key string
	// Timeout is how long the caller waits; zero if the request doesn't say.
	Timeout time.Duration
	Model   string
	// PromptTokens and OutputTokens are zero unless Counted is set.
	PromptTokens int
	OutputTokens int
	Counted      bool
	Prefix       []PromptPart
	// LastEvent is the last event that the caller has received; empty at the
	// start.
	LastEvent string
	// TakenUp reports whether the request goes on with a stream of an earlier request.
	// Resumes is the request that brought its first event; empty if unknown.
	TakenUp bool
	Resumes RequestID
}

// Forward holds the values that a router adds to a request for one endpoint.
type Forward struct {
	Endpoint string
	// Workspace is empty on routes that are open to all.
	Workspace string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// CacheScope separates cached parts that must not be shared.
	CacheScope string
	// Weights is the version of the weights without which the endpoint must not
	// run the request; empty accepts any.
	Weights string
	// FetchFrom is an engine or a store that has parts of the prompt cached;
	// invalid if there is none.
	FetchFrom netip.AddrPort
	// SaveTo is a store that receives the parts of the prompt once they are
	// processed; invalid if there is none.
	SaveTo netip.AddrPort
	// Priority is the priority for the engine, 0 to 9; negative omits it.
	Priority int
	// LastEvent is the event after which a stream resumes.
	LastEvent string
	// BackupTo is an engine that receives a copy of the run's KV cache as it
	// grows; invalid if there is none.
	BackupTo netip.AddrPort
	// ResumeFrom names the copy of the run's KV cache from which it resumes.
	ResumeFrom string
}

// Reply holds the values that a router reads from the head of an endpoint's
// answer.
type Reply struct {
	// ID is the request that the answer belongs to.
	ID RequestID
	// NotRun reports whether the endpoint states that it did not run the request.
	NotRun bool
	// Failed reports whether the answer is an error, so that its time says nothing of how
	// long work takes.
	Failed bool
	// Leaving reports whether the endpoint states that it takes no new work for the
	// rest of its run.
	Leaving bool
	// RetryAfter is how long an endpoint that refused wants no more requests from
	// this router; zero if it doesn't say.
	RetryAfter time.Duration
	// BadRetryAfter is the value that was sent for RetryAfter if it can't be used.
	BadRetryAfter string
	// Limited reports whether the endpoint names a limit: LimitPerSecond is the number
	// of requests a second that it takes from all routers together.
	Limited        bool
	LimitPerSecond float64
	// BadLimit is the value that was sent as the limit if it can't be used.
	BadLimit string
	// Load is nil if the endpoint doesn't report it.
	Load *EndpointQueue
}

// EndpointQueue is the load that an endpoint reports in its answers.
type EndpointQueue struct {
	Running int
	Waiting int
	Slots   int
	// TimeFactor is how long work takes at the endpoint now, relative to the usual; zero
	// if unknown.
	TimeFactor float64
}

// Dialect reads and writes the heads of requests and answers in the format that
// callers and endpoints use.
type Dialect interface {
	// Inbound returns ErrMalformed for a head that can't be parsed.
	Inbound(r *http.Request) (Inbound, error)
	// Outbound returns the header for the endpoint, without the fields that the
	// caller must not set.
	Outbound(caller http.Header, f Forward) http.Header
	Reply(status int, h http.Header) Reply
	// ChangesWeights reports whether the weights have changed under the run at one of
	// the complete events of a stream.
	ChangesWeights(events []byte) bool
}

// LoadOrder instructs an endpoint to load a version of a model's weights.
type LoadOrder struct {
	Endpoint string
	Addr     netip.AddrPort
	Model    string
	Version  uint64
	// Method determines what happens to running requests.
	Method LoadMethod
	// Holder and Fence are the leader and its term.
	Holder string
	Fence  uint64
	// After is the number of orders that the endpoint has accepted before this
	// one.
	After uint64
}

// LoadMethod determines what happens to requests that run while weights are
// loaded.
type LoadMethod string

// The ways to load weights.
const (
	// LoadWait lets running requests finish first.
	LoadWait LoadMethod = "wait"
	// LoadTruncate ends their streams early.
	LoadTruncate LoadMethod = "truncate"
	// LoadRetain lets them continue with the new weights.
	LoadRetain LoadMethod = "retain"
)

// EngineReport is the state that an engine reports on request.
type EngineReport struct {
	// Busy reports whether an order is being carried out.
	Busy    bool
	Weights map[string]uint64
	// Orders counts the orders that were accepted.
	Orders uint64
	// Started is that of the Registration of this run; zero if the engine doesn't tell.
	Started int64
	// Queued, Active and Prefilling count requests; prefilling ones are active
	// and have produced no token.
	Queued     int
	Active     int
	Prefilling int
	// Used and Total are cache memory in tokens; Used can't be evicted.
	Used  int
	Total int
}

// EngineProbe reads the state and the cache events of an engine.
type EngineProbe interface {
	Report(ctx context.Context, endpoint string, addr netip.AddrPort) (EngineReport, error)
	// Events returns the changes of the cache after a position. It waits for
	// changes for at most the given time.
	Events(ctx context.Context, addr netip.AddrPort, since int64, wait time.Duration) (EngineEvents, error)
}

// Loader sends orders to engines and reads their reports.
type Loader interface {
	Report(ctx context.Context, endpoint string, addr netip.AddrPort) (EngineReport, error)
	// Load returns nil if the order is accepted or already in effect, ErrFenced
	// after an order with a higher fence, ErrOverloaded while another order is
	// carried out, and ErrEndpointFailed if it is refused permanently. After any
	// other error the order may still be carried out.
	Load(ctx context.Context, o *LoadOrder) error
}

// Mover moves running requests between engines.
type Mover interface {
	// Move stops the run of the request at the endpoint and copies its KV cache
	// to the engine at the target. It returns the name of the copy from which the
	// run resumes there. If it returns an error and a name, the run has stopped
	// and resumes at the endpoint. An error that is marked ErrNotRun proves that the run was
	// not touched. After any other error without a name the run may have stopped, and be
	// copied.
	Move(ctx context.Context, e *Endpoint, id RequestID, target netip.AddrPort) (string, error)
	// Backup returns the name of the copy that the engine at the address has of
	// a run whose Forward named it in BackupTo.
	Backup(addr netip.AddrPort, id RequestID) string
}
