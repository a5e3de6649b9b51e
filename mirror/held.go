package mirror

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

// heldTimeout bounds the call that tells a replica of held endpoints.
const heldTimeout = time.Second

// tellHeld tells the replica the runs of endpoints that have deregistered there and that this router
// has known since before; the replica does not. A run that began later has not deregistered.
func (m *Mirror) tellHeld(ctx context.Context, addr netip.AddrPort, u *boragewick.WatchUpdate) {
	held := m.held(u)
	if len(held.Registrations) == 0 {
		return
	}
	m.fetches.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, heldTimeout)
		defer cancel()
		err := boragewick.Call(ctx, m.Peers.Get(addr), boragewick.MethodHeld, held, &struct{}{})
		_ = level.Info(m.Logger).Log("msg", "replica told of held endpoints", "replica", addr, "endpoints", len(held.Registrations), "first", held.Registrations[0].Name, "err", err)
	})
}

// held returns the registrations of the missing endpoints that this router has known since before they
// deregistered.
func (m *Mirror) held(u *boragewick.WatchUpdate) boragewick.HeldEndpoints {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	var held boragewick.HeldEndpoints
	for _, missing := range u.Missing {
		entry := m.endpoints[missing.Endpoint]
		deregisteredAt := now.Add(-u.Now.Sub(missing.At))
		if entry != nil && entry.runKnownAt.Before(deregisteredAt) {
			held.Registrations = append(held.Registrations, entry.Registration)
		}
	}
	return held
}
