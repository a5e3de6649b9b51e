package replica

import "github.com/boragewick/boragewick"

// maxInflightMessages limits the messages with entries to one member that are
// not acknowledged yet.
const maxInflightMessages = 32

// progress is the leader's view of one other member's log.
type progress struct {
	member boragewick.Member
	// match is the last index known to be synced by the member, next the index
	// of the first entry to send.
	match uint64
	next  uint64
	// probing is set until the member has accepted an entry. While it is set,
	// one message is sent for each reply or heartbeat.
	probing bool
	paused  bool
	// inflight holds the last index of each message with entries that is not
	// acknowledged yet.
	inflight []uint64
	// ackedElapsed is the newest sending time that the member has acknowledged,
	// in nanoseconds since the term began.
	ackedElapsed uint64
	replied      bool
	// transfer is the snapshot being sent, with the offset of the next chunk.
	transfer *boragewick.SnapshotChunk
}

// canSend reports whether entries may be sent now.
func (p *progress) canSend() bool {
	if p.transfer != nil {
		return false
	}
	if p.probing {
		return !p.paused
	}
	return len(p.inflight) < maxInflightMessages
}

// recordSent records that the entries up to the index were sent.
func (p *progress) recordSent(last uint64) {
	if p.probing {
		p.paused = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// recordMatch records that the member holds all entries up to the index.
func (p *progress) recordMatch(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
}

// startProbing restarts the search for the last matching entry.
func (p *progress) startProbing(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.paused = false
	p.inflight = nil
}

// recordReply records the sending time that a reply returned.
func (p *progress) recordReply(elapsed uint64) {
	p.replied = true
	p.ackedElapsed = max(p.ackedElapsed, elapsed)
}
