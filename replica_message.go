package boragewick

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

// The kinds of messages between replicas.
const (
	// MessagePreVote asks whether a candidate could win the term.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	// MessageVote asks for the vote in the term.
	MessageVote
	MessageVoteReply
	// MessageAppend carries entries; without entries it is a heartbeat.
	MessageAppend
	MessageAppendReply
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	MessageSnapshotReply
	// MessageResign tells that the sender no longer leads the term.
	MessageResign
	// MessageHandOver is a MessageResign that asks its receiver to stand for election.
	MessageHandOver
)

// ReplicaMessage is a message from one replica to another.
type ReplicaMessage struct {
	Kind MessageKind `cbor:"kind"`
	From Member      `cbor:"from"`
	To   Member      `cbor:"to"`
	Term uint64      `cbor:"term"`
	// Previous is the entry before Entries, or a candidate's last entry.
	Previous Revision   `cbor:"previous"`
	Entries  []LogEntry `cbor:"entries,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"commit,omitempty"`
	// Elapsed is the time in nanoseconds from the start of the leader's term
	// to the sending of a message; the reply returns it.
	Elapsed uint64 `cbor:"elapsed,omitempty"`
	// Reject reports that a vote was refused or that Previous did not match.
	Reject bool `cbor:"reject,omitempty"`
	// Match is the last index known to equal the leader's log.
	Match uint64 `cbor:"match,omitempty"`
	// Hint is the newest entry of the sender that may match after a reject.
	Hint Revision `cbor:"hint"`
	// Snapshot is a chunk, or in a reply the position of the next wanted chunk.
	Snapshot *SnapshotChunk `cbor:"snapshot,omitempty"`
}

// Effects are the actions that a replica requests, in this order: send Early,
// write and sync Hard and Entries, write Chunks, send Messages, apply Committed,
// install, answer Reads.
type Effects struct {
	// Early may be sent before anything is written.
	Early []ReplicaMessage
	// Hard is set when the hard state has changed.
	Hard *HardState
	// Entries replace all stored entries from the first one's index on.
	Entries []LogEntry
	// Chunks are parts of a snapshot that is being received.
	Chunks []SnapshotChunk
	// Install is set when all chunks of a snapshot have been received.
	Install *SnapshotMeta
	// Messages must not be sent before the writes are synced. A snapshot
	// message has no data yet; it is read from the Storage.
	Messages  []ReplicaMessage
	Committed []LogEntry
	Reads     []ReadGrant
}

// ReadGrant allows a read once all entries up to Index are applied.
type ReadGrant struct {
	Token uint64
	Index uint64
}

// Empty reports whether there is nothing to do.
func (e *Effects) Empty() bool {
	return e.Hard == nil && e.Install == nil && len(e.Early)+len(e.Entries)+
		len(e.Chunks)+len(e.Messages)+len(e.Committed)+len(e.Reads) == 0
}
