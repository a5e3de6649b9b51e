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
	// ticksPerHeartbeat is how often time is looked at.
	ticksPerHeartbeat = 4
	// maxBatchBytes bounds the entries that are taken in between two syncs.
	maxBatchBytes = 8 << 20
	// maxLogBytes bounds the commands that are applied between two snapshots.
	maxLogBytes = 16 << 20
	// chunkBytes is the size of one part of a snapshot in transfer.
	chunkBytes = 256 << 10
)

// loop is the state that Run's goroutine owns.
type loop struct {
	*Node
	core    *replica.Core
	links   *links
	applied boragewick.Revision
	snapped uint64
	// logBytes is the size of the commands applied since the last snapshot.
	logBytes int
	meters   meters
	waiting  map[uint64]waiting
	reads    map[uint64]*reading
	tokens   uint64
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
		Node:    n,
		links:   newLinks(ctx, n),
		applied: stored.Snapshot.Revision,
		snapped: stored.Snapshot.Revision.Index,
		meters:  newMeters(n.Metrics),
		waiting: map[uint64]waiting{},
		reads:   map[uint64]*reading{},
	}
	if l.core, err = n.newCore(&stored); err != nil {
		return nil, err
	}
	l.publish()
	return l, l.begin(ctx)
}

// newCore returns the consensus over what is stored.
func (n *Node) newCore(s *boragewick.StoredLog) (*replica.Core, error) {
	seed := xxhash.Sum64String(string(s.Identity))
	return replica.New(n.cfg, s, seed, n.Clock.Now())
}

// run takes in messages, requests and time until ctx is done.
func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(l.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		l.core.Tick(l.Clock.Now())
		if err := l.settle(); err != nil {
			_ = level.Error(l.Logger).Log("msg", "replica stopped", "replica", l.cfg.Name, "err", err)
			l.failAll(err)
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case m := <-l.inbox:
			l.core.Step(l.Clock.Now(), &m)
			l.drainInbox(messageBytes(&m))
		case r := <-l.requests:
			l.take(r)
			l.drainRequests(len(r.command))
		case members := <-l.formed:
			if err := l.form(members); err != nil {
				return err
			}
		case <-ticker.C:
		}
	}
}

// drainInbox takes in the messages that are there, up to one batch.
func (l *loop) drainInbox(size int) {
	for n := 1; n < l.batch && size < maxBatchBytes; n++ {
		select {
		case m := <-l.inbox:
			l.core.Step(l.Clock.Now(), &m)
			size += messageBytes(&m)
		default:
			return
		}
	}
}

// drainRequests takes in the requests that are there, up to one batch.
func (l *loop) drainRequests(size int) {
	for n := 1; n < l.batch && size < maxBatchBytes; n++ {
		select {
		case r := <-l.requests:
			l.take(r)
			size += len(r.command)
		default:
			return
		}
	}
}

// messageBytes returns the size of the message's commands and chunk.
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

// take starts a request.
func (l *loop) take(r *request) {
	if r.kind == requestBarrier {
		l.tokens++
		if err := l.core.Read(l.Clock.Now(), l.tokens); err != nil {
			r.answer(nil, err)
			return
		}
		l.reads[l.tokens] = &reading{request: r}
		return
	}
	revision, err := l.append(r)
	if err != nil {
		r.answer(nil, boragewick.NotRun(err))
		return
	}
	l.waiting[revision.Index] = waiting{r, revision.Term}
}

// append puts the request's entry into the log.
func (l *loop) append(r *request) (boragewick.Revision, error) {
	switch r.kind {
	case requestPropose:
		return l.core.Propose(r.command)
	case requestAdd:
		return l.core.Add(r.member)
	case requestPromote:
		return l.core.Promote(l.Clock.Now(), r.member.Name)
	case requestRemove:
		return l.core.Remove(r.member.Name)
	}
	return boragewick.Revision{}, errors.Wrapf(boragewick.ErrUnknownCommand, "request kind %d", r.kind)
}

// settle does all that the consensus wants done.
func (l *loop) settle() error {
	for {
		e := l.core.Take(l.Clock.Now())
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
	l.publish()
	return l.snapshot()
}

// perform does one round of effects.
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
	if err := l.fill(e.Messages); err != nil {
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
	l.meters.syncs.Update(l.Clock.Now().Sub(start).Microseconds())
	l.meters.batches.Update(int64(len(e.Entries)))
	return err
}

// fill reads the chunks of outgoing snapshots.
func (l *loop) fill(messages []boragewick.ReplicaMessage) error {
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

// apply hands committed entries to the state machine and answers their
// proposals.
func (l *loop) apply(entries []boragewick.LogEntry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == boragewick.EntryCommand {
			result = l.machine.Apply(boragewick.Entry{Revision: e.Revision, Command: e.Command})
		}
		l.applied = e.Revision
		l.logBytes += len(e.Command)
		l.meters.commits.Inc(1)
		w, ok := l.waiting[e.Revision.Index]
		if !ok {
			continue
		}
		delete(l.waiting, e.Revision.Index)
		if w.term == e.Revision.Term {
			w.answer(result, nil)
			continue
		}
		err := errors.Wrap(boragewick.ErrNotLeader, "another leader replaced the command")
		w.answer(nil, boragewick.NotRun(err))
	}
}

// install replaces the state by a snapshot that was received.
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
	l.applied, l.snapped, l.logBytes = meta.Revision, meta.Revision.Index, 0
	l.meters.installs.Inc(1)
	for index, w := range l.waiting {
		if index <= meta.Revision.Index {
			delete(l.waiting, index)
			w.answer(nil, errors.Wrap(boragewick.ErrOutcomeUnknown, "a snapshot covers the command"))
		}
	}
	return nil
}

// snapshot stores the state once enough entries were applied.
func (l *loop) snapshot() error {
	if l.applied.Index-l.snapped < l.cfg.SnapshotEntries && l.logBytes < maxLogBytes {
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
	l.snapped, l.logBytes = l.applied.Index, 0
	l.meters.snapshots.Inc(1)
	return nil
}

// answerReads ends the barriers whose entries are applied.
func (l *loop) answerReads() {
	for token, r := range l.reads {
		if r.granted && r.index <= l.applied.Index {
			delete(l.reads, token)
			r.answer(nil, nil)
		}
	}
}

// failReads ends the barriers that a lost leadership leaves open.
func (l *loop) failReads() {
	for token, r := range l.reads {
		delete(l.reads, token)
		r.answer(nil, errors.Wrap(boragewick.ErrNotLeader, "leadership was lost"))
	}
}

// failAll ends all requests with the error that stops the replica.
func (l *loop) failAll(err error) {
	l.failReads()
	for index, w := range l.waiting {
		delete(l.waiting, index)
		w.answer(nil, errors.Mark(err, boragewick.ErrOutcomeUnknown))
	}
}
