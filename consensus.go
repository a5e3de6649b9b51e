package boragewick

import (
	"slices"
	"time"
)

// Identity is the random identity that a replica's disk is given when it is
// first initialised. A replica that lost its disk returns with another one.
type Identity string

// NewIdentity returns a random Identity.
func NewIdentity() Identity {
	return Identity(NewID("disk"))
}

// Member is one replica of the group: the instance name together with the
// identity of its disk.
type Member struct {
	Name     string   `cbor:"name" json:"name"`
	Identity Identity `cbor:"identity" json:"identity"`
}

// Membership is the set of replicas that hold the log. Learners receive it but
// count neither for elections nor for commits.
type Membership struct {
	Voters   []Member `cbor:"voters" json:"voters"`
	Learners []Member `cbor:"learners,omitempty" json:"learners,omitempty"`
}

// Find returns the member of that name and whether there is one.
func (m Membership) Find(name string) (Member, bool) {
	for _, member := range slices.Concat(m.Voters, m.Learners) {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// IsMember reports whether the replica belongs to the group under exactly this identity.
func (m Membership) IsMember(member Member) bool {
	return slices.Contains(m.Voters, member) || slices.Contains(m.Learners, member)
}

// IsVoter reports whether the replica votes under exactly this identity.
func (m Membership) IsVoter(member Member) bool {
	return slices.Contains(m.Voters, member)
}

// HardState is the state that a replica must persist: the newest term that it
// has seen and its vote in that term.
type HardState struct {
	Term uint64 `cbor:"term"`
	Vote Member `cbor:"vote"`
}

// LogEntryKind is the kind of a log entry.
type LogEntryKind uint8

// The kinds of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand LogEntryKind = iota + 1
	// EntryTerm starts the term of a new leader.
	EntryTerm
	// EntryMembership carries a Membership, which takes effect once appended.
	EntryMembership
)

// LogEntry is one entry of the log, committed or not.
type LogEntry struct {
	Revision   Revision     `cbor:"revision"`
	Kind       LogEntryKind `cbor:"kind"`
	Command    []byte       `cbor:"command,omitempty"`
	Membership *Membership  `cbor:"membership,omitempty"`
	// Leader is the leader of the term that an EntryTerm starts; nil in entries of earlier
	// versions.
	Leader *Member `cbor:"leader,omitempty"`
}

// ReplicaSettings are the settings of one control replica. Zero durations and
// sizes take their defaults.
type ReplicaSettings struct {
	// Name is the instance name of this replica.
	Name string
	// Voters are the instance names of the group when it is first formed. The
	// first of them forms it once it has reached all others. Empty means that
	// this replica waits to be added to a group.
	Voters []string
	// InitialVoters are the voters of the first membership when their
	// identities are known before any of them starts. Each of them then forms
	// the same group by itself; Voters is not used.
	InitialVoters []Member
	// Heartbeat is the time between two heartbeats of the leader.
	Heartbeat time.Duration
	// ElectionTimeout is how long a replica that no longer hears from its leader
	// keeps its promise not to vote for another candidate.
	ElectionTimeout time.Duration
	// MaxClockDrift is the largest relative error of the rate of a replica's
	// clock. Leases are safe only within it.
	MaxClockDrift float64
	// NoLease makes every barrier contact a quorum.
	NoLease bool
	// SnapshotEntries is the number of entries after which a snapshot is taken.
	SnapshotEntries uint64
}

// Defaults of the ReplicaSettings.
const (
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultElectionTimeout = time.Second
	DefaultMaxClockDrift   = 0.05
	DefaultSnapshotEntries = 8192
)

// WithDefaults returns the settings with every zero value replaced.
func (s ReplicaSettings) WithDefaults() ReplicaSettings {
	if s.Heartbeat <= 0 {
		s.Heartbeat = DefaultHeartbeat
	}
	if s.ElectionTimeout <= 0 {
		s.ElectionTimeout = DefaultElectionTimeout
	}
	if s.MaxClockDrift <= 0 {
		s.MaxClockDrift = DefaultMaxClockDrift
	}
	if s.SnapshotEntries == 0 {
		s.SnapshotEntries = DefaultSnapshotEntries
	}
	return s
}

// Lease returns how long after sending a heartbeat that a quorum acknowledged
// no other replica can lead, if each clock's rate is within MaxClockDrift.
func (s ReplicaSettings) Lease() time.Duration {
	ratio := (1 - s.MaxClockDrift) / (1 + s.MaxClockDrift)
	return time.Duration(float64(s.ElectionTimeout) * ratio)
}

// ReplicaPeers returns the peer for the control replica of that name.
type ReplicaPeers func(name string) (Peer, error)

// ReplicaHello opens a stream of the method "replica".
type ReplicaHello struct {
	From Member `cbor:"from"`
	// Probe asks only for a ReplicaState.
	Probe bool `cbor:"probe,omitempty"`
}

// ReplicaState is the answer to a probe.
type ReplicaState struct {
	Member Member `cbor:"member"`
	// Fresh reports whether the replica has never belonged to a group.
	Fresh bool `cbor:"fresh"`
}
