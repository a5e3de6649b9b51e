package replica

import "github.com/boragewick/boragewick"

// maxInflight bounds the unanswered messages with entries to one member.
const maxInflight = 32

// progress is what a leader knows of one other member.
type progress struct {
	member boragewick.Member
	// match is the last index known to be synced there, next the first one
	// that was not sent yet.
	match uint64
	next  uint64
	// probing is set until the member has accepted an entry; one message is
	// sent then for each reply or heartbeat.
	probing bool
	paused  bool
	// inflight are the last indexes of the messages that were not answered.
	inflight []uint64
	// elapsed is the newest sending time that the member has acknowledged.
	elapsed uint64
	heard   bool
	// sending is the snapshot in transfer, with the offset wanted next.
	sending *boragewick.SnapshotChunk
}

// ready reports whether entries may be sent now.
func (p *progress) ready() bool {
	if p.sending != nil {
		return false
	}
	if p.probing {
		return !p.paused
	}
	return len(p.inflight) < maxInflight
}

// sent notes that entries up to the index are on their way.
func (p *progress) sent(last uint64) {
	if p.probing {
		p.paused = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}

// accepted notes that the member holds all entries up to the index.
func (p *progress) accepted(match uint64) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
}

// probe starts to look again for the last entry that matches.
func (p *progress) probe(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.paused = false
	p.inflight = nil
}

// acknowledge notes the sending time that a reply returned.
func (p *progress) acknowledge(elapsed uint64) {
	p.heard = true
	p.elapsed = max(p.elapsed, elapsed)
}
