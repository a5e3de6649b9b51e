package boragewick

import (
	"context"
	"time"
)

// Log commits commands to the replicated log of the control replicas.
type Log interface {
	// Propose commits the command and returns the result of the StateMachine's
	// Apply. A replica that is not the leader returns ErrNotLeader. After any
	// other error the command may still be committed.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once everything that was committed when it was called has
	// been applied on this replica, or returns ErrNotLeader.
	Barrier(ctx context.Context) error
	// Status returns the replica's view of the group.
	Status() LogStatus
}

// LogStatus is the state of one control replica.
type LogStatus struct {
	Replica string `cbor:"replica" json:"replica"`
	Leader  string `cbor:"leader" json:"leader"`
	Leading bool   `cbor:"leading" json:"leading"`
	Term    uint64 `cbor:"term" json:"term"`
	Applied uint64 `cbor:"applied" json:"applied"`
	// Last is the index of the newest entry, committed or not.
	Last uint64 `cbor:"last" json:"last"`
	// LeaseUntil is the instant until which no other replica can lead.
	LeaseUntil time.Time `cbor:"lease_until,omitzero" json:"lease_until,omitzero"`
	Voters     []string  `cbor:"voters" json:"voters"`
	Learners   []string  `cbor:"learners,omitempty" json:"learners,omitempty"`
	// Members are the voters and learners with the identities of their disks.
	Members Membership `cbor:"-" json:"-"`
}

// Entry is one committed command.
type Entry struct {
	Revision Revision `cbor:"revision"`
	Command  []byte   `cbor:"command"`
}

// StateMachine applies committed entries, the same ones in the same order on
// every replica. Its methods are called from one goroutine.
type StateMachine interface {
	// Apply must depend only on the state and the entry.
	Apply(e Entry) []byte
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}
