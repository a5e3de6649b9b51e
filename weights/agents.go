package weights

import (
	"maps"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// agentLag is how late an agent's report of a request reaches the leader: two intervals
	// of 20 ms, that of a relay, and the way.
	agentLag = 80 * time.Millisecond
	// followLinger is how long agents are followed after the last upgrade, as versions may
	// be named in quick succession.
	followLinger = 5 * time.Second
)

// agentReport is what an engine's agent reports.
type agentReport struct {
	// weights is empty until the agent has reported versions.
	weights map[string]uint64
	busy    bool
	idle    bool
	down    bool
	orders  uint64
}

// ObserveEngine applies an update from an engine's agent. A nil update means that the agent
// is unreachable.
func (u *Upgrader) ObserveEngine(endpoint string, update *boragewick.EngineUpdate) {
	u.agentsMu.Lock()
	defer u.agentsMu.Unlock()
	u.initAgents()
	if update == nil {
		delete(u.agents, endpoint)
		return
	}
	r := u.agents[endpoint]
	r.idle, r.down = update.Active+update.Queued == 0, update.Down
	if len(update.Weights) > 0 {
		r.weights, r.busy, r.orders = update.Weights, update.Busy, update.Orders
	}
	u.agents[endpoint] = r
	select {
	case u.agentsChanged <- struct{}{}:
	default:
	}
}

// initAgents makes the map and the channel; the caller holds agentsMu.
func (u *Upgrader) initAgents() {
	if u.agents == nil {
		u.agents = map[string]agentReport{}
		u.agentsChanged = make(chan struct{}, 1)
	}
}

// agentChanges returns a channel that receives after changes of agents' reports.
func (u *Upgrader) agentChanges() <-chan struct{} {
	u.agentsMu.Lock()
	defer u.agentsMu.Unlock()
	u.initAgents()
	return u.agentsChanged
}

// agent returns the report of the engine's agent, and whether there is one.
func (u *Upgrader) agent(endpoint string) (agentReport, bool) {
	u.agentsMu.Lock()
	defer u.agentsMu.Unlock()
	r := u.agents[endpoint]
	return r, len(r.weights) > 0 && !r.down
}

// reportedVersion returns the version of the model that the engine's agent reports; zero if
// it reports none, one that is not named, or an order in progress.
func (u *Upgrader) reportedVersion(endpoint, model string, named map[string]uint64) uint64 {
	r, ok := u.agent(endpoint)
	if !ok || r.busy || r.weights[model] > named[model] {
		return 0
	}
	return r.weights[model]
}

// withReportedVersions returns the versions of the registration or those that the engine's
// agent reports, where they are newer.
func (u *Upgrader) withReportedVersions(r *boragewick.Registration, named map[string]uint64) map[string]uint64 {
	versions := r.Weights
	for model, version := range r.Weights {
		if reported := u.reportedVersion(r.Name, model, named); reported > version {
			versions = newestWeights(versions, map[string]uint64{model: reported})
		}
	}
	return versions
}

// isSkipped reports whether the engine is left alone, as it has failed repeatedly. If its
// agent reports an order in progress, it has to be taken out of service.
func (u *Upgrader) isSkipped(endpoint string, now time.Time) bool {
	r, ok := u.agent(endpoint)
	inProgress := ok && r.busy
	return now.Before(u.unreachableUntil[endpoint]) && !inProgress
}

// isReadyForOrder reports whether the engine's agent reports neither a request nor an order
// in progress, long enough after the engine was taken out of service.
func (u *Upgrader) isReadyForOrder(j *job, now time.Time) (agentReport, bool) {
	r, ok := u.agent(j.endpoint.Name)
	return r, ok && r.idle && !r.busy && !now.Before(j.createdAt.Add(directivePropagation+agentLag))
}

// agentsShowProgress reports whether a step can end a job or give an order by what agents
// have reported since the last one.
func (u *Upgrader) agentsShowProgress() bool {
	now := u.Clock.Now()
	state, _ := u.Registry.State()
	for name, j := range u.jobs {
		if j.callInFlight {
			continue
		}
		if u.reportedVersion(name, j.model, state.Weights) >= j.version {
			return true
		}
		if _, ok := u.isReadyForOrder(j, now); ok && !j.ordered && u.freeLoads > 0 {
			return true
		}
	}
	return false
}

// endReportedJobs ends the jobs of engines whose agents report that they have the version,
// and reports whether there are any.
func (u *Upgrader) endReportedJobs(named map[string]uint64) (changed bool) {
	for name, j := range u.jobs {
		if version := u.reportedVersion(name, j.model, named); !j.callInFlight && version >= j.version {
			u.finish(j, version)
			changed = true
		}
	}
	if changed {
		u.sendDirective()
	}
	return changed
}

// followAgents has the agents of all engines followed while there are upgrades to do.
func (u *Upgrader) followAgents(now time.Time, upgrading bool) {
	if u.Agents == nil {
		return
	}
	if upgrading {
		u.followUntil = now.Add(followLinger)
	}
	wanted := map[string]boragewick.Endpoint{}
	if now.Before(u.followUntil) {
		for _, r := range u.Directory.Endpoints() {
			if len(r.Weights) > 0 && !r.Leaving {
				wanted[r.Name] = boragewick.Endpoint{Name: r.Name, Agent: r.Addr, Pool: r.Pool, Kind: boragewick.EndpointModel}
			}
		}
	}
	var changes []boragewick.EndpointChange
	for name := range u.followed {
		if _, ok := wanted[name]; !ok {
			changes = append(changes, boragewick.EndpointChange{Endpoint: u.followed[name], Removed: true})
		}
	}
	for name := range wanted {
		if u.followed[name].Agent != wanted[name].Agent {
			changes = append(changes, boragewick.EndpointChange{Endpoint: wanted[name]})
		}
	}
	if len(changes) == 0 {
		return
	}
	if len(u.followed) == 0 {
		u.followedSince = now
	}
	u.followed = wanted
	u.Agents.Update(changes...)
	u.forgetAgents()
}

// forgetAgents drops the reports of agents that are not followed any more.
func (u *Upgrader) forgetAgents() {
	u.agentsMu.Lock()
	defer u.agentsMu.Unlock()
	maps.DeleteFunc(u.agents, func(name string, _ agentReport) bool {
		_, ok := u.followed[name]
		return !ok
	})
}

// isUpgrading reports whether an engine is out of service or has weights older than the
// named ones.
func (u *Upgrader) isUpgrading(endpoints map[string]boragewick.Registration, named map[string]uint64) bool {
	if len(u.jobs) > 0 {
		return true
	}
	for _, r := range endpoints {
		for model, version := range r.Weights {
			if version < named[model] {
				return true
			}
		}
	}
	return false
}
