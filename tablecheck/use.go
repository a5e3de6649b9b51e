package tablecheck

import (
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/boragewick/boragewick"
)

func (e *examination) checkWorkspaces() {
	seen := names{}
	keys := 0
	open := len(e.table.Routes) > 0 && !slices.ContainsFunc(e.table.Routes, func(r boragewick.HostRoute) bool { return !r.AllowAnonymous })
	for i := range e.table.Workspaces {
		w := &e.table.Workspaces[i]
		where := seen.next("workspace", w.Name)
		if seen[w.Name] > 1 {
			e.addField(Warning, where, "name", "has the name of another workspace; both share one rate")
		}
		usable := e.checkKeys(where, w)
		keys += usable
		if open && usable > 0 && w.PerSecond == 0 && w.Rank == nil && !w.CacheIsolated {
			e.add(Note, where, "nothing uses its keys: all routes serve callers without a key, and it has no rate, rank or cache of its own")
		}
		e.checkRate(where, w)
	}
	if keys > 0 || len(e.table.Workspaces) == 0 {
		return
	}
	seen = names{}
	for i := range e.table.Routes {
		where := seen.next("route", e.table.Routes[i].Name)
		if !e.table.Routes[i].AllowAnonymous {
			e.addField(Warning, where, "anonymous", "refuses every request: it needs a key, and there is none")
		}
	}
}

// checkKeys returns the number of keys with which a caller can be recognised.
func (e *examination) checkKeys(where string, w *boragewick.WorkspaceRule) int {
	usable := 0
	listed := map[string]bool{}
	for i, key := range w.Keys {
		switch {
		case key == "":
			e.addField(Warning, where, "keys", fmt.Sprintf("key %d is never used: it is empty", i+1))
		case strings.TrimSpace(key) != key || strings.ContainsFunc(key, unicode.IsControl):
			e.addField(Warning, where, "keys", fmt.Sprintf("key %d (%s) is never used: no request can have the spaces around it or the control characters in it", i+1, shorten(key)))
		case listed[key]:
			e.addField(Warning, where, "keys", fmt.Sprintf("key %d (%s) is listed twice", i+1, shorten(key)))
		default:
			usable++
		}
		listed[key] = true
	}
	if usable == 0 {
		e.addField(Warning, where, "keys", "is never used: it has no key that a request can have")
	}
	return usable
}

// checkRate reports rates that allow less than one request. A burst is compared with
// the smallest cost of a request that is known: one request, or the tokens that
// a request without a count costs. Routers may get a few tokens more than the burst,
// as their settings allow, on which a table must not rely.
func (e *examination) checkRate(where string, w *boragewick.WorkspaceRule) {
	if w.PerSecond == 0 {
		if w.Burst > 0 {
			e.addField(Warning, where, "burst", fmt.Sprintf("its burst of %d has no effect: a rate of 0 is no limit", w.Burst))
		}
		return
	}
	switch {
	case !w.ByTokens && w.DefaultTokens > 0:
		e.addField(Note, where, "tokens of a request without a count", "tokens of requests without a count have no effect: its rate counts requests")
	case w.ByTokens && w.DefaultTokens == 0:
		e.addField(Warning, where, "tokens of a request without a count", "requests without a token count cost nothing")
	}
	cost, what := uint64(1), "request"
	if w.ByTokens && w.DefaultTokens > 0 {
		cost, what = w.DefaultTokens, fmt.Sprintf("request without a token count, which costs %d", w.DefaultTokens)
	}
	if w.Burst < cost {
		e.addField(Warning, where, "burst", fmt.Sprintf("its burst of %d is too small for any %s", w.Burst, what))
	}
	if w.PerSecond < cost {
		e.addField(Warning, where, "rate per second", fmt.Sprintf("its rate of %d a second is below one %s", w.PerSecond, what))
	}
}

// checkUse reports pools, stores and workspaces that nothing uses.
func (e *examination) checkUse() {
	engines := false
	for name := range e.used {
		engines = engines || e.pools[name].Engine != nil
	}
	seen := names{}
	for i := range e.table.Pools {
		p := &e.table.Pools[i]
		where := seen.next("pool", p.Name)
		switch {
		case p.Store != nil && !engines:
			e.warn(where, "is a store that nothing uses: no route has a pool of engines")
		case p.Store == nil && !e.used[p.Name]:
			e.warn(where, "is never used: no route sends it requests")
		}
	}
	if len(e.table.Routes) == 0 {
		e.warn("", "there are no routes: every request is refused, and no key is used")
	}
}

func (e *examination) checkLimits() {
	l := e.table.Limits
	const where = limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		e.warn(where, "a limit is negative, which counts as none")
	}
	if l.BodyBytes <= 0 {
		e.addField(Warning, where, "body bytes", "without a limit of bodies, a body whose length is not stated is refused")
	}
	if l.BodyBytes > 0 && l.BodyBytes < int64(l.HeaderBytes) {
		e.addField(Warning, where, "body bytes", fmt.Sprintf("the limit of bodies, %d bytes, is below the limit of headers, %d bytes", l.BodyBytes, l.HeaderBytes))
	}
}
