package boragewick

import "time"

// BrokenAttempt is a request whose connection broke after the request had been sent
// to an endpoint.
type BrokenAttempt struct {
	ID RequestID
	// Endpoint must not be changed.
	Endpoint *Endpoint
	SentAt   time.Time
	// BrokeAt is when the router noticed that the connection was lost.
	BrokeAt time.Time
	// Request is the RequestKey of the request, Variant also tells its prompt, Parts are its
	// SharedPartKeys, and Model is its ModelKey or, at a plain endpoint, the PoolKey.
	Request uint64
	Variant uint64
	Parts   []uint64
	Model   uint64
	// Down reports whether the endpoint is known to be down.
	Down bool
	// Answered reports whether the answer ended with the connection, so that it is
	// complete unless the endpoint has crashed, and Suspected whether a part was
	// suspected then.
	Answered, Suspected bool
}

// CrashObserver is notified of requests from which follows whether a prompt part or a
// whole request crashes endpoints. Its methods don't block.
type CrashObserver interface {
	ObserveBroken(a *BrokenAttempt)
	// ObserveAnswered is called with the RequestKey of a request that was answered completely,
	// its shared parts and its model; suspected is set if one of them is a suspect.
	ObserveAnswered(request uint64, parts []uint64, suspected bool)
}

// PartStatus tells what the control replicas have found out about prompt parts and whole
// requests.
type PartStatus interface {
	// IsWatching reports whether any part or request is in quarantine or suspected.
	IsWatching() bool
	// QuarantinedUntil returns the earliest instant at which the quarantine of the
	// part can end. It reports false if the part is not in quarantine.
	QuarantinedUntil(part uint64) (time.Time, bool)
	// IsSuspect reports whether the part was in use at a crashed endpoint and in no
	// complete answer since.
	IsSuspect(part uint64) bool
}
