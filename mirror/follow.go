package mirror

import (
	"cmp"
	"context"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// selectReplicas returns the replicas to start following. The order differs from
// router to router, so that the load is spread over the replicas. Seeds that are
// not known as replicas come last, as they may have no disk.
func (m *Mirror) selectReplicas() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	candidates := slices.Clone(m.replicas)
	for _, seed := range m.Seeds {
		if !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	class := func(a netip.AddrPort) int {
		switch {
		case now.Sub(m.failedAt[a]) < failureBackoff:
			return 2
		case !slices.Contains(m.replicas, a):
			return 1
		default:
			return 0
		}
	}
	slices.SortFunc(candidates, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(m.rank(a), m.rank(b)))
	})
	useful := 0
	for a := range m.following {
		if !m.isLeaderless(a, now) {
			useful++
		}
	}
	var list []netip.AddrPort
	for _, a := range candidates {
		if useful >= followedReplicas || len(m.following) >= maxFollowed {
			break
		}
		if !m.following[a] {
			m.following[a] = true
			list = append(list, a)
			useful++
		}
	}
	return list
}

// isLeaderless reports whether a followed replica has named no leader for some time, so that it
// may be cut off from the others and know nothing new. The caller holds mu.
func (m *Mirror) isLeaderless(a netip.AddrPort, now time.Time) bool {
	since, ok := m.leaderlessSince[a]
	return ok && now.Sub(since) >= leaderlessTime
}

// endSpareStreams ends the streams of all but followedReplicas once that many replicas that name
// a leader are followed.
func (m *Mirror) endSpareStreams() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.following) <= followedReplicas {
		return
	}
	var useful, spare []netip.AddrPort
	for a := range m.following {
		if _, leaderless := m.leaderlessSince[a]; m.reportedSilent[a] == nil || leaderless {
			spare = append(spare, a)
		} else {
			useful = append(useful, a)
		}
	}
	if len(useful) < followedReplicas {
		return
	}
	slices.SortFunc(useful, func(a, b netip.AddrPort) int { return cmp.Compare(m.rank(a), m.rank(b)) })
	for _, a := range append(spare, useful[followedReplicas:]...) {
		if end := m.endStream[a]; end != nil {
			end(errors.Wrap(boragewick.ErrCanceled, "others that name a leader are followed"))
		}
	}
}

// rank returns the hash by which this router orders the replicas.
func (m *Mirror) rank(a netip.AddrPort) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(m.Instance + " " + a.String()))
	return h.Sum32()
}

// follow merges the updates of one replica until they stop. It logs the loss of a replica,
// and once in failureLogInterval that none can be followed and why.
func (m *Mirror) follow(ctx context.Context, addr netip.AddrPort) {
	receiving := false
	err := m.watch(ctx, addr, &receiving)
	if receiving {
		_ = level.Warn(m.Logger).Log("msg", "control replica lost", "replica", addr, "err", err)
	} else if ctx.Err() == nil && m.noteFailure() {
		_ = level.Warn(m.Logger).Log("msg", "no control replica can be followed", "replica", addr, "err", err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.following, addr)
	m.forget(addr)
	m.failedAt[addr] = m.Clock.Now()
}

// noteFailure reports whether no replica is followed and that is to be logged now.
func (m *Mirror) noteFailure() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if len(m.reportedSilent) > 0 || now.Before(m.nextFailureLog) {
		return false
	}
	m.nextFailureLog = now.Add(failureLogInterval)
	return true
}

// recordLeaderless records and logs whether a followed replica names no leader. The caller holds
// mu.
func (m *Mirror) recordLeaderless(addr netip.AddrPort, leaderless bool) {
	if _, was := m.leaderlessSince[addr]; was == leaderless {
		return
	}
	if leaderless {
		if m.leaderlessSince == nil {
			m.leaderlessSince = map[netip.AddrPort]time.Time{}
		}
		m.leaderlessSince[addr] = m.Clock.Now()
	} else {
		delete(m.leaderlessSince, addr)
	}
	_ = level.Info(m.Logger).Log("msg", "leader of control replica", "replica", addr, "known", !leaderless)
}

// forget drops what holds only while the replica is followed; the caller holds mu.
func (m *Mirror) forget(addr netip.AddrPort) {
	delete(m.reportedSilent, addr)
	delete(m.leaderlessSince, addr)
	delete(m.endStream, addr)
	m.documents.forget(addr)
	if m.quarantine.setSuspects(addr, nil) {
		m.storeView()
	}
}

func (m *Mirror) watch(ctx context.Context, addr netip.AddrPort, receiving *bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(silenceTimeout, func() {
		cancel(errors.Wrap(boragewick.ErrTimeout, "silent"))
	})
	defer silenceTimer.Stop()
	m.mu.Lock()
	if m.endStream == nil {
		m.endStream = map[netip.AddrPort]context.CancelCauseFunc{}
	}
	m.endStream[addr] = cancel
	req := &boragewick.WatchRequest{Instance: m.Instance, Version: m.tableVersion(), Namings: m.namings, Now: m.Clock.Now(), FetchesDocuments: true, Departures: m.departures.newest}
	m.mu.Unlock()
	s, err := m.Peers.Get(addr).Open(ctx, boragewick.MethodWatch, req)
	if err != nil {
		return err
	}
	for {
		var u boragewick.WatchUpdate
		if err := s.Recv(ctx, &u); err != nil {
			return errors.CombineErrors(err, context.Cause(ctx))
		}
		if u.Redirect {
			m.redirect(u.Replicas)
			return errors.Wrap(boragewick.ErrUnknownService, "not a replica")
		}
		silenceTimer.Reset(silenceTimeout)
		if !*receiving {
			*receiving = true
			_ = level.Info(m.Logger).Log("msg", "control replica regained", "replica", addr)
		}
		m.merge(addr, &u)
		m.tellHeld(ctx, addr, &u)
		if u.Published > 0 {
			m.mu.Lock()
			m.announce(ctx, addr, u.Published)
			m.mu.Unlock()
		}
	}
}

// redirect replaces the known replicas by those that a control process without a
// disk has listed.
func (m *Mirror) redirect(list []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(list) > 0 {
		m.replicas = list
	}
}
