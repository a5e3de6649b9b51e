package tablecheck

import (
	"fmt"
	"net"
	"strings"

	"github.com/boragewick/boragewick"
)

func (e *examination) checkPools() {
	seen := names{}
	for i := range e.table.Pools {
		p := &e.table.Pools[i]
		where := seen.next("pool", p.Name)
		if seen[p.Name] > 1 {
			e.addField(Warning, where, "name", "replaces an earlier pool with the same name, which is never used")
		}
		e.pools[p.Name] = p
		if p.Name == "" {
			e.addField(Warning, where, "name", "has no name")
		}
		if p.Engine != nil && p.Store != nil {
			e.warn(where, "is both a pool of engines and a store, which serves no requests")
		}
	}
}

func (e *examination) checkRoutes() {
	seen := names{}
	atLocation := map[string]string{}
	for i := range e.table.Routes {
		r := &e.table.Routes[i]
		where := seen.next("route", r.Name)
		if seen[r.Name] > 1 {
			e.addField(Warning, where, "name", "has the name of another route, so that logs and metrics can't tell them apart")
		}
		e.checkLocation(where, r)
		location := strings.ToLower(r.Host) + " " + r.Prefix
		if taken, ok := atLocation[location]; ok {
			e.warn(taken, fmt.Sprintf("never matches: %s has the same host and prefix", where))
		}
		atLocation[location] = where
		e.checkRoutePools(where, r)
		e.checkTimes(where, r)
		e.checkAttempts(where, r)
		e.checkAnonymous(where, r)
	}
}

// checkLocation reports a host or prefix that no request has. Routers look a request
// up by its host without the port and by the parts of its escaped path that end with
// a slash.
func (e *examination) checkLocation(where string, r *boragewick.HostRoute) {
	_, _, err := net.SplitHostPort(r.Host)
	switch {
	case r.Host == "":
		e.addField(Warning, where, "host", "never matches: it has no host")
	case err == nil:
		e.addField(Warning, where, "host", fmt.Sprintf("never matches: the host %s has a port, which is ignored in requests", r.Host))
	case strings.ContainsAny(r.Host, "*/ "):
		e.addField(Warning, where, "host", fmt.Sprintf("never matches: hosts are compared as they are, and no request has %q", r.Host))
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		e.addField(Warning, where, "prefix", fmt.Sprintf("never matches: the prefix %q does not begin with a slash", r.Prefix))
	case !strings.HasSuffix(r.Prefix, "/"):
		e.addField(Warning, where, "prefix", fmt.Sprintf("never matches: the prefix %q does not end with a slash", r.Prefix))
	case strings.ContainsAny(r.Prefix, "?# "):
		e.addField(Warning, where, "prefix", fmt.Sprintf("never matches: the prefix %q has a character that no path has", r.Prefix))
	}
}

func (e *examination) checkRoutePools(where string, r *boragewick.HostRoute) {
	weights, toStores, toEngines := 0, 0, 0
	listed := map[string]bool{}
	for _, p := range r.Pools {
		if listed[p.Pool] {
			e.warn(where, fmt.Sprintf("lists the pool %s more than once; its weights add up", p.Pool))
		}
		listed[p.Pool] = true
		rule := e.pools[p.Pool]
		if p.Weight == 0 {
			e.warn(where, fmt.Sprintf("never uses the pool %s: its weight is 0", p.Pool))
		}
		if p.Weight <= 0 || rule == nil {
			continue
		}
		weights++
		e.used[p.Pool] = true
		if rule.Store != nil {
			toStores++
		}
		if rule.Engine != nil {
			toEngines++
		}
	}
	switch {
	case toStores > 0 && toStores == weights:
		e.warn(where, "serves no request: all its pools are stores")
	case toStores > 0:
		e.warn(where, "loses a share of its requests: one of its pools is a store, which serves none")
	case weights > 0 && toEngines == 0 && r.SessionAffinity:
		e.addField(Note, where, "session affinity", "session affinity has no effect: none of its pools has engines")
	}
}

func (e *examination) checkTimes(where string, r *boragewick.HostRoute) {
	if r.Timeout > 0 && r.Timeout < r.TargetLatency {
		e.addField(Warning, where, "timeout", fmt.Sprintf("its timeout of %s is shorter than its target latency of %s", r.Timeout, r.TargetLatency))
	}
	if r.Timeout > 0 && r.Timeout < r.TargetGap {
		e.addField(Warning, where, "timeout", fmt.Sprintf("its timeout of %s is shorter than its target gap of %s", r.Timeout, r.TargetGap))
	}
	if r.TargetLatency < 0 || r.TargetGap < 0 {
		e.warn(where, "has a negative target")
	}
	if r.Rank < 0 {
		e.addField(Warning, where, "rank", fmt.Sprintf("its rank of %d is below 0, which is the highest", r.Rank))
	}
	if r.Kind != boragewick.Streaming && r.TargetGap > 0 {
		e.addField(Note, where, "target gap", "its target gap has no effect: its answers are no event streams")
	}
}

// checkAttempts reports attempts that a route can't use: a request that may have run
// is sent again only if it is repeatable or resumable.
func (e *examination) checkAttempts(where string, r *boragewick.HostRoute) {
	switch {
	case r.Kind == boragewick.Streaming && r.Resumable && r.Attempts <= 1:
		e.addField(Warning, where, "attempts", "is resumable, but routers resume no broken stream: only one attempt is allowed")
	case r.Kind != boragewick.Streaming && r.Resumable:
		e.addField(Note, where, "resumable", "resumable has no effect: its answers are no event streams")
	}
	if r.Attempts > 1 && (r.Kind == boragewick.RunOnce || r.Kind == boragewick.Streaming && !r.Resumable) {
		e.addField(Note, where, "attempts", fmt.Sprintf("of its %d attempts only the first is used once a request may have run: it runs at most once", r.Attempts))
	}
}

func (e *examination) checkAnonymous(where string, r *boragewick.HostRoute) {
	switch {
	case !r.AllowAnonymous:
	case len(e.table.Workspaces) == 0:
		e.addField(Note, where, "anonymous", "allowing anonymous callers has no effect: without workspaces no request needs a key")
	default:
		e.addField(Note, where, "anonymous", "callers without a key are served and have no rate")
	}
}
