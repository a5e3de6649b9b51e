package boragewick

import "context"

// Group changes the membership of the control replicas, one change at a time.
// The methods return ErrNotLeader or ErrBadMembership.
type Group interface {
	// Add makes the replica a learner under the identity of its disk.
	Add(ctx context.Context, name string) error
	// Promote makes a learner a voter once it has caught up.
	Promote(ctx context.Context, name string) error
	// Demote makes a voter a learner.
	Demote(ctx context.Context, name string) error
	// Remove takes the replica out of the group.
	Remove(ctx context.Context, name string) error
}

// MemberAction is a change of the membership.
type MemberAction string

// The changes of the membership.
const (
	MemberAdd     MemberAction = "add"
	MemberPromote MemberAction = "promote"
	MemberRemove  MemberAction = "remove"
)

// MemberRequest asks for a change of the membership.
type MemberRequest struct {
	Action   MemberAction `cbor:"action"`
	Replica  string       `cbor:"replica"`
	Operator string       `cbor:"operator"`
}
