package boragewick

import (
	"context"
	"time"

	"github.com/zeebo/xxh3"
)

// StreamKey identifies the request that brought the first event of a stream.
type StreamKey uint64

// NewStreamKey returns the key of the workspace's request. The workspace is empty for
// requests without one.
func NewStreamKey(workspace string, id RequestID) StreamKey {
	return StreamKey(xxh3.HashString(workspace + "\x00" + string(id)))
}

// StreamOrigin is the build of the endpoint at which a stream began.
type StreamOrigin struct {
	Key   StreamKey
	Build Build
}

// StreamOrigins knows the builds at which streams began.
type StreamOrigins interface {
	// Record records where a stream of a route to the pools began.
	// A caller may take the stream up until the given time.
	Record(o StreamOrigin, pools []string, until time.Time)
	// Find returns the build at which a stream of such a route began. The error is
	// ErrUnknownOrigin if that can't be told.
	Find(ctx context.Context, key StreamKey, pools []string) (Build, error)
}

// OriginReport tells a control replica where streams began.
type OriginReport struct {
	// Began holds the streams that began with each build.
	Began map[Build][]StreamKey `cbor:"1,keyasint"`
}

// OriginAck is the answer to an OriginReport.
type OriginAck struct {
	// Run is that of the replica, which keeps origins in memory. Replicas of earlier versions leave
	// it empty.
	Run Incarnation `cbor:"1,keyasint,omitempty"`
}

// OriginQuery asks a control replica where a stream began that a caller takes up.
type OriginQuery struct {
	Key StreamKey `cbor:"1,keyasint"`
	// Pools are those of the stream's route.
	Pools []string `cbor:"2,keyasint"`
}

// OriginReply is the answer to an OriginQuery.
type OriginReply struct {
	// Build is zero if the replica doesn't know where the stream began.
	Build Build `cbor:"1,keyasint,omitempty"`
	// Builds are all builds with which endpoints of the pools may serve, by the log of a
	// voter. It is complete if Settled is set.
	Builds []Build `cbor:"2,keyasint,omitempty"`
	// Settled reports whether all entries of the replica's log are applied.
	Settled bool `cbor:"3,keyasint,omitempty"`
	// Voters is the number of voters if the replica is one of them.
	Voters int `cbor:"4,keyasint,omitempty"`
}

// Methods of control replicas that keep where streams began.
const (
	MethodOrigins = "origins"
	MethodOrigin  = "origin"
)
