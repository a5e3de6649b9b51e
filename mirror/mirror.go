// Package mirror maintains a router's copy of the state of the control replicas.
package mirror

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/routes"
)

const (
	// followedReplicas is the number of replicas that a router follows at the same
	// time, so that it still receives changes when one or two of them fail.
	followedReplicas = 3
	// silenceTimeout is how long a replica may send nothing; replicas send at
	// least once a second.
	silenceTimeout = 2200 * time.Millisecond
	// retryDelay is the time between two attempts to follow a replica.
	retryDelay = 200 * time.Millisecond
	// selectInterval is how often new replicas to follow are selected.
	selectInterval = 250 * time.Millisecond
	// leaderlessTime is how long a followed replica may name no leader before another one is
	// followed in its place. An election is over sooner.
	leaderlessTime = 1500 * time.Millisecond
	// maxFollowed is the number of replicas that are followed while some name no leader.
	maxFollowed = 2 * followedReplicas
	// failureBackoff is how long a failed replica is not selected while others are
	// left.
	failureBackoff = 3 * time.Second
	// failureLogInterval is the time between two log lines about replicas that can't be
	// followed, while none is.
	failureLogInterval = 5 * time.Second
	// routerRetention is how long a router that is no longer seen still counts, as it
	// may be cut off from the control replicas and go on serving.
	routerRetention = 30 * time.Second
	// goneRetention is how long an endpoint is kept after its registration as gone.
	goneRetention = 30 * time.Second
)

// View is the state that a router uses to serve requests. It is immutable once
// published.
type View struct {
	*routes.Index
	// Weights is the newest named version of each model.
	Weights map[string]uint64
	// Namings are the latest namings of weights.
	Namings     []boragewick.WeightsNaming
	quarantined map[uint64]time.Time
	// quarantineEnds holds when each of these quarantines ends.
	quarantineEnds map[uint64]time.Time
	suspects       map[uint64]bool
	// Builds are those with which endpoints may serve, by pool.
	Builds map[string][]boragewick.Build
}

// NewestWeightsBefore returns the newest version of the model that was certainly named before
// the instant, and the newest one that may have been; zero if there is none.
func (v *View) NewestWeightsBefore(model string, before time.Time) (certain, possible uint64) {
	for _, n := range v.Namings {
		if n.Model != model || !n.AgeUnknown && !n.At.Before(before) {
			continue
		}
		possible = max(possible, n.Version)
		if !n.AgeUnknown {
			certain = max(certain, n.Version)
		}
	}
	return certain, possible
}

// SupersededAt returns when the first version of the model that is newer than the
// given one was named, or the zero time if there is none.
func (v *View) SupersededAt(model string, version uint64) time.Time {
	var at time.Time
	for _, n := range v.Namings {
		if n.Model == model && n.Version > version && (at.IsZero() || n.At.Before(at)) {
			at = n.At
		}
	}
	return at
}

// Mirror follows control replicas. Its fields are set before Run.
type Mirror struct {
	// Instance identifies this router.
	Instance string
	Seeds    []netip.AddrPort
	Decoder  boragewick.TableDecoder
	Peers    *peers.Pool
	Clock    boragewick.Clock
	Logger   log.Logger
	// OrderLease is how long endpoints stay out of service for an upgrade unless a leader
	// renews its directive; zero means until another directive.
	OrderLease time.Duration
	// Pauses tells which updates are older than a pause of the process; nil means that it has
	// none.
	Pauses boragewick.PauseMonitor
	// Observer is notified of the endpoints; it may be nil.
	Observer boragewick.EndpointObserver
	// OnRouterCount is called with the number of routers of the deployment when it
	// has changed; it may be nil.
	OnRouterCount func(n int)

	view atomic.Pointer[View]

	mu        sync.Mutex
	table     *routes.Index
	weights   map[string]uint64
	namings   []boragewick.WeightsNaming
	endpoints map[string]*endpointEntry
	directive *boragewick.Directive
	// loading are the endpoints that the directive takes out of service, until loadingUntil
	// unless it is renewed.
	loading      map[string]bool
	loadingUntil time.Time
	replicas     []netip.AddrPort
	leader       netip.AddrPort
	// leaderNamedAt is when a replica last named another one as the leader.
	leaderNamedAt time.Time
	// heardAt is when a replica that names a leader last sent an update.
	heardAt time.Time
	// routers is the number of routers, and routersAt when it was last confirmed.
	routers   int
	routersAt time.Time
	following map[netip.AddrPort]bool
	failedAt  map[netip.AddrPort]time.Time
	// nextFailureLog is when the next failure to follow a replica may be logged.
	nextFailureLog time.Time
	// reportedSilent holds, for each replica that sends updates, whether it reports
	// an endpoint as silent.
	reportedSilent map[netip.AddrPort]map[string]bool
	quarantine     partQuarantine
	documents      documents
	departures     departures
	fetches        sync.WaitGroup
	// leaderlessSince holds since when followed replicas have named no leader.
	leaderlessSince map[netip.AddrPort]time.Time
	// endStream ends the stream of a followed replica.
	endStream map[netip.AddrPort]context.CancelCauseFunc
	// builds are those after buildsAfter changes of the log.
	builds      map[string][]boragewick.Build
	buildsAfter uint64
}

// View returns the current view, or nil before there is a routing table.
func (m *Mirror) View() *View { return m.view.Load() }

// Run follows replicas until ctx is done.
func (m *Mirror) Run(ctx context.Context) error {
	m.mu.Lock()
	m.endpoints = map[string]*endpointEntry{}
	m.following = map[netip.AddrPort]bool{}
	m.failedAt = map[netip.AddrPort]time.Time{}
	m.reportedSilent = map[netip.AddrPort]map[string]bool{}
	m.replicas = slices.Clone(m.Seeds)
	m.mu.Unlock()
	defer m.fetches.Wait()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ticker := time.NewTicker(selectInterval)
	defer ticker.Stop()
	for {
		for _, addr := range m.selectReplicas() {
			tasks.Go(func() { m.follow(ctx, addr) })
		}
		m.endSpareStreams()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.expireLoading()
			m.fetchDocument()
		}
	}
}

// SetSeeds replaces the replicas from the settings.
func (m *Mirror) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Seeds = seeds
}

// tableVersion returns the version of the table in force; the caller holds mu.
func (m *Mirror) tableVersion() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Table.Version
}

// Grant implements boragewick.RateOwner by a call to the leader.
func (m *Mirror) Grant(ctx context.Context, r boragewick.GrantRequest) (boragewick.Grant, error) {
	m.mu.Lock()
	leader := m.leader
	m.mu.Unlock()
	var g boragewick.Grant
	if !leader.IsValid() {
		return g, errors.Wrap(boragewick.ErrNotLeader, "no leader known")
	}
	err := boragewick.Call(ctx, m.Peers.Get(leader), boragewick.MethodGrant, r, &g)
	return g, err
}

// Replicas returns the known control replicas.
func (m *Mirror) Replicas() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replicas
}

// Stores returns the KV cache stores of the table in force.
func (m *Mirror) Stores() []netip.AddrPort {
	if v := m.View(); v != nil {
		return v.Stores()
	}
	return nil
}

// Connected reports whether at least one control replica keeps the view up to
// date, and has done so since the process last stood still.
func (m *Mirror) Connected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.reportedSilent) > 0 && (m.Pauses == nil || m.Pauses.IsSinceResume(m.heardAt))
}

// merge applies an update of a replica. Tables, versions of weights, registrations
// and directives have no effect unless they are newer than the ones held, except that
// the replica's report of an endpoint as silent or not counts in any case.
func (m *Mirror) merge(addr netip.AddrPort, u *boragewick.WatchUpdate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reportedSilent[addr] == nil {
		m.reportedSilent[addr] = map[string]bool{}
	}
	m.recordLeaderless(addr, !u.Leader.IsValid())
	if u.Leader.IsValid() {
		m.heardAt = m.Clock.Now()
	}
	changed := m.mergeTable(addr, u.Publication)
	changed = m.mergeWeights(u) || changed
	for i := range u.Registrations {
		changed = m.mergeEndpoint(addr, &u.Registrations[i]) || changed
	}
	for _, d := range u.Departures {
		changed = m.mergeDeparture(d) || changed
	}
	changed = m.mergeDirective(u.Directive) || changed
	viewChanged := m.mergeBuilds(u)
	viewChanged = u.Quarantined != nil && m.mergeQuarantined(u.Quarantined) || viewChanged
	if u.Suspects != nil {
		viewChanged = m.quarantine.setSuspects(addr, u.Suspects.Parts) || viewChanged
	}
	if len(u.Replicas) > 0 {
		m.replicas = u.Replicas
	}
	m.mergeRouterCount(u.RouterCount)
	if u.Leader.IsValid() && u.Leader != addr {
		m.leaderNamedAt = m.Clock.Now()
	}
	if u.Leader.IsValid() && u.Leader != m.leader {
		m.leader = u.Leader
		changed = true
	}
	if changed {
		m.publish()
	} else if viewChanged {
		m.storeView()
	}
}

// mergeBuilds applies the builds of an update if they are newer, and reports whether it did.
// The caller holds mu.
func (m *Mirror) mergeBuilds(u *boragewick.WatchUpdate) bool {
	if u.BuildsAfter <= m.buildsAfter {
		return false
	}
	m.buildsAfter = u.BuildsAfter
	if maps.EqualFunc(u.Builds, m.builds, slices.Equal[[]boragewick.Build]) {
		return false
	}
	m.builds = u.Builds
	for pool, list := range u.Builds {
		_ = level.Info(m.Logger).Log("msg", "software versions in use", "pool", pool, "builds", len(list), "changes", u.BuildsAfter)
	}
	return true
}

// Builds returns the builds with which endpoints of the pool may serve.
func (m *Mirror) Builds(pool string) []boragewick.Build {
	if v := m.View(); v != nil {
		return v.Builds[pool]
	}
	return nil
}

// mergeRouterCount applies the number of routers that a replica has sent; zero if it
// has sent none. The caller holds mu.
func (m *Mirror) mergeRouterCount(n int) {
	now := m.Clock.Now()
	if n == 0 || n < m.routers && now.Sub(m.routersAt) < routerRetention {
		return
	}
	m.routersAt = now
	if n == m.routers {
		return
	}
	m.routers = n
	_ = level.Info(m.Logger).Log("msg", "number of routers", "routers", n)
	if m.OnRouterCount != nil {
		m.OnRouterCount(n)
	}
}

// mergeTable puts a routing table in force if it is newer, and reports whether it
// did.
func (m *Mirror) mergeTable(addr netip.AddrPort, p *boragewick.Publication) bool {
	if p == nil || p.Version <= m.tableVersion() {
		return false
	}
	table, err := m.Decoder.DecodeTable(p.Document)
	if err != nil {
		_ = level.Error(m.Logger).Log("msg", "committed table can't be read", "version", p.Version, "err", err)
		return false
	}
	m.table = routes.New(table)
	_ = level.Info(m.Logger).Log("msg", "table in force", "version", p.Version, "routes", len(table.Routes), "workspaces", len(table.Workspaces),
		"replica", addr, "bytes", len(p.Document))
	return true
}

// publish sends the endpoints to the observer and stores a new view; the caller holds
// mu.
func (m *Mirror) publish() {
	if m.Observer != nil {
		m.Observer.Update(m.endpointChanges()...)
	}
	m.storeView()
}

// storeView stores a new view once there is a routing table; the caller holds mu.
func (m *Mirror) storeView() {
	if m.table != nil {
		m.view.Store(&View{
			Index: m.table, Weights: m.weights, Namings: m.namings,
			quarantined: m.quarantine.parts, quarantineEnds: m.quarantine.ends, suspects: m.quarantine.suspects,
			Builds: m.builds,
		})
	}
}
