package core

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
)

const (
	// buildRetention is how long a build whose endpoints have left stays allowed. No
	// stream lasts as long.
	buildRetention = 5 * time.Minute
	// lostRetention is the same for a build with an endpoint that fell silent: it may
	// still serve routers that are cut off with it.
	lostRetention = 2 * time.Hour
)

// buildKeeper decides with which builds endpoints may serve while this replica leads, so
// that routers begin streams only with builds that a majority knows. It belongs to one
// goroutine.
type buildKeeper struct {
	*Core
	// term is the one in which this replica leads, since leadingSince.
	term         uint64
	leadingSince time.Time
	// seenAt is when an endpoint of a build was last heard, and left holds the builds of
	// which one has left properly.
	seenAt map[boragewick.Build]time.Time
	left   map[boragewick.Build]bool
	// lost are the builds of endpoints that fell silent, by the endpoint's name.
	lost map[string]boragewick.Build
}

// maintainBuilds decides on builds until ctx is done.
func (c *Core) maintainBuilds(ctx context.Context) {
	k := buildKeeper{Core: c}
	everySweep(ctx, k.sweep)
}

// sweep proposes changes if this replica leads.
func (k *buildKeeper) sweep(ctx context.Context) {
	status := k.Replica.Status()
	if !status.Leading {
		k.term = 0
		return
	}
	now := k.Clock.Now()
	if k.term != status.Term {
		*k = buildKeeper{
			Core: k.Core, term: status.Term, leadingSince: now,
			seenAt: map[boragewick.Build]time.Time{}, left: map[boragewick.Build]bool{}, lost: map[string]boragewick.Build{},
		}
	}
	state, _ := k.Registry.State()
	for pool, change := range k.changes(state.Builds, now) {
		change.Pool = pool
		if k.commit(ctx, change) != nil {
			return
		}
	}
}

// changes observes the endpoints and returns what is to be changed, by pool.
func (k *buildKeeper) changes(builds map[string][]boragewick.Build, now time.Time) map[string]boragewick.BuildChange {
	changes := map[string]boragewick.BuildChange{}
	registrations := k.Directory.Registrations()
	for i := range registrations {
		r := &registrations[i]
		if r.Build == 0 {
			continue
		}
		k.observe(r, now)
		if c := changes[r.Pool]; !r.Gone && !slices.Contains(builds[r.Pool], r.Build) && !slices.Contains(c.Added, r.Build) {
			c.Added = append(c.Added, r.Build)
			changes[r.Pool] = c
		}
	}
	for pool, list := range builds {
		for _, b := range list {
			if k.isOver(b, now) {
				c := changes[pool]
				c.Removed = append(c.Removed, b)
				changes[pool] = c
			}
		}
	}
	return changes
}

// observe records what an endpoint's registration says of its build.
func (k *buildKeeper) observe(r *boragewick.Registration, now time.Time) {
	switch {
	case r.Gone:
		k.left[r.Build] = true
		delete(k.lost, r.Name)
	case r.Silent:
		k.lost[r.Name] = r.Build
	default:
		k.seenAt[r.Build] = now
		delete(k.lost, r.Name)
	}
}

// isOver reports whether no endpoint has the build any more, also where this replica can't
// see it.
func (k *buildKeeper) isOver(b boragewick.Build, now time.Time) bool {
	last := k.seenAt[b]
	if last.IsZero() {
		last = k.leadingSince
	}
	retention := lostRetention
	if k.left[b] {
		retention = buildRetention
	}
	for _, lost := range k.lost {
		if lost == b {
			retention = lostRetention
		}
	}
	return now.Sub(last) > retention
}

// commit commits a change and logs the decision.
func (k *buildKeeper) commit(ctx context.Context, change boragewick.BuildChange) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.propose(ctx, boragewick.RegistryCommand{Builds: &change})
	_ = level.Info(k.Logger).Log("msg", "software versions", "pool", change.Pool, "added", len(change.Added), "removed", len(change.Removed),
		"builds", joinBuilds(slices.Concat(change.Added, change.Removed)), "term", k.term, "err", err)
	return err
}

// joinBuilds returns a bounded list of builds for a log line.
func joinBuilds(list []boragewick.Build) string {
	var b []byte
	for i, build := range list[:min(len(list), maxLoggedParts)] {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, build.String()...)
	}
	return string(b)
}
