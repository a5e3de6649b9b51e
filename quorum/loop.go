package quorum

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/replica"
)

const (
	// ticksPerHeartbeat is the number of ticks of an idle loop per heartbeat.
	ticksPerHeartbeat = 4
	// maxBatchBytes limits the command and snapshot bytes that are taken from a
	// queue between two syncs.
	maxBatchBytes = 8 << 20
	// maxLogBytes limits the size of the commands applied between two snapshots.
	maxLogBytes = 16 << 20
	// chunkBytes is the largest size of one chunk of a snapshot in transfer.
	chunkBytes = 256 << 10
)

// loop is the event loop of a Node. Its state is owned by Run's goroutine.
type loop struct {
	*Node
	core          *replica.Core
	links         *links
	applied       boragewick.Revision
	snapshotIndex uint64
	// logBytes is the size of the commands applied since the last snapshot.
	logBytes    int
	nodeMetrics nodeMetrics
	proposals   map[uint64]pendingProposal
	reads       map[uint64]*pendingRead
	lastToken   uint64
}

// open loads the storage and restores the state machine.
func open(ctx context.Context, n *Node) (*loop, error) {
	stored, err := n.storage.Load()
	if err != nil {
		return nil, err
	}
	if stored.Snapshot.Revision.Index > 0 {
		if err := n.machine.Restore(stored.Data); err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
	}
	l := &loop{
		Node:          n,
		links:         newLinks(ctx, n),
		applied:       stored.Snapshot.Revision,
		snapshotIndex: stored.Snapshot.Revision.Index,
		nodeMetrics:   newNodeMetrics(n.Metrics),
		proposals:     map[uint64]pendingProposal{},
		reads:         map[uint64]*pendingRead{},
	}
	if l.core, err = n.newCore(&stored); err != nil {
		return nil, err
	}
	l.publishStatus()
	return l, l.bootstrap(ctx)
}

// newCore returns a consensus core with the stored log and hard state.
func (n *Node) newCore(s *boragewick.StoredLog) (*replica.Core, error) {
	seed := xxhash.Sum64String(string(s.Identity))
	return replica.New(n.cfg, s, seed, n.Clock.Now())
}

// run handles messages, requests and ticks until ctx is done.
func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(l.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		l.core.Tick(l.Clock.Now())
		if err := l.processEffects(); err != nil {
			_ = level.Error(l.Logger).Log("msg", "replica stopped", "replica", l.cfg.Name, "err", err)
			l.failAll(err)
			return err
		}
		select {
		case <-ctx.Done():
			return l.handOver()
		case m := <-l.inbox:
			l.core.Step(l.Clock.Now(), &m)
			l.drainInbox(messageBytes(&m))
		case r := <-l.requests:
			l.startRequest(r)
			l.drainRequests(len(r.command))
		case members := <-l.firstMembership:
			if err := l.createGroup(members); err != nil {
				return err
			}
		case <-ticker.C:
		}
	}
}

// handOver hands leadership over to another replica, if this one leads. It returns once another
// one leads or after HandOverTime; until then this replica may still vote.
func (l *loop) handOver() error {
	if !l.core.Leading() || l.HandOverTime <= 0 {
		return nil
	}
	startedAt := l.Clock.Now()
	l.core.HandOver(startedAt)
	if l.core.Leading() {
		return nil
	}
	l.publishStatus() // before another replica hears of it
	end := time.NewTimer(l.HandOverTime)
	defer end.Stop()
	for {
		if err := l.processEffects(); err != nil {
			return err
		}
		if successor := l.core.Leader(); successor.Name != "" {
			_ = level.Info(l.Logger).Log("msg", "leadership handed over", "replica", l.cfg.Name, "successor", successor.Name,
				"term", l.core.Term(), "took_ms", l.Clock.Now().Sub(startedAt).Milliseconds())
			return nil
		}
		select {
		case m := <-l.inbox:
			l.core.Step(l.Clock.Now(), &m)
		case <-end.C:
			_ = level.Warn(l.Logger).Log("msg", "leadership given up, no successor heard of", "replica", l.cfg.Name, "term", l.core.Term())
			return nil
		}
	}
}

// drainInbox handles the queued messages, up to one batch.
func (l *loop) drainInbox(size int) {
	for n := 1; n < l.maxBatch && size < maxBatchBytes; n++ {
		select {
		case m := <-l.inbox:
			l.core.Step(l.Clock.Now(), &m)
			size += messageBytes(&m)
		default:
			return
		}
	}
}

// drainRequests handles the queued requests, up to one batch.
func (l *loop) drainRequests(size int) {
	for n := 1; n < l.maxBatch && size < maxBatchBytes; n++ {
		select {
		case r := <-l.requests:
			l.startRequest(r)
			size += len(r.command)
		default:
			return
		}
	}
}

// messageBytes returns the size of the message's commands and snapshot chunk.
func messageBytes(m *boragewick.ReplicaMessage) int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Command)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// startRequest requests a read grant for a barrier, and appends the entry of any
// other request.
func (l *loop) startRequest(r *request) {
	if r.kind == requestBarrier {
		l.lastToken++
		if err := l.core.RequestRead(l.Clock.Now(), l.lastToken); err != nil {
			r.answer(nil, err)
			return
		}
		l.reads[l.lastToken] = &pendingRead{request: r}
		return
	}
	revision, err := l.append(r)
	if err != nil {
		r.answer(nil, boragewick.NotRun(err))
		return
	}
	l.proposals[revision.Index] = pendingProposal{r, revision.Term}
}

// append appends the request's entry to the log.
func (l *loop) append(r *request) (boragewick.Revision, error) {
	switch r.kind {
	case requestPropose:
		return l.core.Propose(r.command)
	case requestAdd:
		return l.core.Add(r.member)
	case requestPromote:
		return l.core.Promote(l.Clock.Now(), r.member.Name)
	case requestDemote:
		return l.core.Demote(r.member.Name)
	case requestRemove:
		return l.core.Remove(r.member.Name)
	}
	return boragewick.Revision{}, errors.Wrapf(boragewick.ErrUnknownCommand, "request kind %d", r.kind)
}

// processEffects carries out the core's effects until none are left, then
// publishes the status and takes a snapshot if one is due.
func (l *loop) processEffects() error {
	for {
		e := l.core.TakeEffects(l.Clock.Now())
		if e.Empty() {
			break
		}
		if err := l.perform(&e); err != nil {
			return err
		}
	}
	if !l.core.Leading() {
		l.failReads()
	}
	l.publishStatus()
	return l.snapshotIfDue()
}

// perform carries out one set of effects.
func (l *loop) perform(e *boragewick.Effects) error {
	l.links.send(e.Early)
	if err := l.save(e); err != nil {
		return err
	}
	for _, chunk := range e.Chunks {
		if err := l.storage.SaveChunk(chunk); err != nil {
			return err
		}
	}
	l.core.Saved()
	if err := l.readChunks(e.Messages); err != nil {
		return err
	}
	l.links.send(e.Messages)
	l.apply(e.Committed)
	if e.Install != nil {
		if err := l.install(*e.Install); err != nil {
			return err
		}
	}
	for _, grant := range e.Reads {
		if r := l.reads[grant.Token]; r != nil {
			r.granted, r.index = true, grant.Index
		}
	}
	l.answerReads()
	return nil
}

// save stores and syncs the hard state and the entries.
func (l *loop) save(e *boragewick.Effects) error {
	if e.Hard == nil && len(e.Entries) == 0 {
		return nil
	}
	start := l.Clock.Now()
	err := l.storage.Save(e.Hard, e.Entries)
	l.nodeMetrics.syncTimes.Update(l.Clock.Now().Sub(start).Microseconds())
	l.nodeMetrics.batchSizes.Update(int64(len(e.Entries)))
	return err
}

// readChunks fills outgoing snapshot messages with their data from the storage.
func (l *loop) readChunks(messages []boragewick.ReplicaMessage) error {
	for _, m := range messages {
		if m.Kind != boragewick.MessageSnapshot {
			continue
		}
		c := m.Snapshot
		c.Data = make([]byte, min(chunkBytes, c.Meta.Size-c.Offset))
		if err := l.storage.ReadSnapshot(c.Meta, c.Offset, c.Data); err != nil {
			return err
		}
		c.Sum = xxhash.Sum64(c.Data)
	}
	return nil
}

// apply applies committed entries to the state machine and answers their
// proposals.
func (l *loop) apply(entries []boragewick.LogEntry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == boragewick.EntryCommand {
			result = l.machine.Apply(boragewick.Entry{Revision: e.Revision, Command: e.Command})
		}
		l.applied = e.Revision
		l.logBytes += len(e.Command)
		l.nodeMetrics.commits.Inc(1)
		w, ok := l.proposals[e.Revision.Index]
		if !ok {
			continue
		}
		delete(l.proposals, e.Revision.Index)
		if w.term == e.Revision.Term {
			w.answer(result, nil)
			continue
		}
		err := errors.Wrap(boragewick.ErrNotLeader, "another leader replaced the command")
		w.answer(nil, boragewick.NotRun(err))
	}
}

// install replaces the state machine's state with a received snapshot.
func (l *loop) install(meta boragewick.SnapshotMeta) error {
	data, err := l.storage.InstallSnapshot(meta)
	if errors.Is(err, boragewick.ErrCorrupt) {
		_ = level.Warn(l.Logger).Log("msg", "received snapshot damaged", "replica", l.cfg.Name, "err", err)
		l.core.InstallFailed()
		return nil
	}
	if err != nil {
		return err
	}
	if err := l.machine.Restore(data); err != nil {
		return errors.Wrap(err, "restore snapshot")
	}
	l.core.Installed(meta)
	l.applied, l.snapshotIndex, l.logBytes = meta.Revision, meta.Revision.Index, 0
	l.nodeMetrics.installs.Inc(1)
	for index, w := range l.proposals {
		if index <= meta.Revision.Index {
			delete(l.proposals, index)
			w.answer(nil, errors.Wrap(boragewick.ErrOutcomeUnknown, "a snapshot covers the command"))
		}
	}
	return nil
}

// snapshotIfDue stores a snapshot of the state machine once enough entries, or
// commands of enough bytes, have been applied since the last one.
func (l *loop) snapshotIfDue() error {
	if l.applied.Index-l.snapshotIndex < l.cfg.SnapshotEntries && l.logBytes < maxLogBytes {
		return nil
	}
	data, err := l.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take snapshot")
	}
	meta := boragewick.SnapshotMeta{
		Revision:   l.applied,
		Membership: l.core.MembershipAt(l.applied.Index),
		Size:       uint64(len(data)),
		Sum:        xxhash.Sum64(data),
	}
	if err := l.storage.SaveSnapshot(meta, data); err != nil {
		return err
	}
	l.core.Compact(meta)
	l.snapshotIndex, l.logBytes = l.applied.Index, 0
	l.nodeMetrics.snapshots.Inc(1)
	return nil
}

// answerReads answers the granted barriers whose index has been applied.
func (l *loop) answerReads() {
	for token, r := range l.reads {
		if r.granted && r.index <= l.applied.Index {
			delete(l.reads, token)
			r.answer(nil, nil)
		}
	}
}

// failReads fails the barriers that are open when leadership is lost.
func (l *loop) failReads() {
	for token, r := range l.reads {
		delete(l.reads, token)
		r.answer(nil, errors.Wrap(boragewick.ErrNotLeader, "leadership was lost"))
	}
}

// failAll fails all pending proposals with the error that stops the replica, and
// the open barriers.
func (l *loop) failAll(err error) {
	l.failReads()
	for index, w := range l.proposals {
		delete(l.proposals, index)
		w.answer(nil, errors.Mark(err, boragewick.ErrOutcomeUnknown))
	}
}
