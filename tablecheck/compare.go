package tablecheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/boragewick/boragewick"
)

// Compare returns what the table changes in the one that is in force. Keys are
// shortened.
func Compare(inForce, t *boragewick.RoutingTable) []Finding {
	var c comparison
	if t.Version <= inForce.Version {
		c.add(Warning, "", fmt.Sprintf("version %d is not above the version in force, %d: publishing it has no effect", t.Version, inForce.Version))
	}
	c.compareFields("", []field{{"version", decimal(inForce.Version)}}, []field{{"version", decimal(t.Version)}})
	compareEntries(&c, "route", inForce.Routes, t.Routes, routeName, routeFields)
	compareEntries(&c, "pool", inForce.Pools, t.Pools, poolName, poolFields)
	c.compareWorkspaces(inForce.Workspaces, t.Workspaces)
	c.compareFields(limits, limitFields(&inForce.Limits), limitFields(&t.Limits))
	list := c.all()
	locate(t, list)
	return list
}

// comparison collects the differences between two tables.
type comparison struct{ findings }

// field is a field of an entry as text.
type field struct{ name, value string }

// compareEntries compares two lists of entries by their names. Entries of one list
// with the same name are numbered in their order.
func compareEntries[T any](c *comparison, kind string, before, after []T, name func(*T) string, fields func(*T) []field) {
	old := index(kind, before, name)
	seen := names{}
	for i := range after {
		where := seen.next(kind, name(&after[i]))
		previous, ok := old[where]
		if !ok {
			c.add(Change, where, "added: "+describe(fields(&after[i])))
			continue
		}
		delete(old, where)
		c.compareFields(where, fields(previous), fields(&after[i]))
	}
	seen = names{}
	for i := range before {
		where := seen.next(kind, name(&before[i]))
		if _, left := old[where]; left {
			c.add(Change, where, "removed: "+describe(fields(&before[i])))
		}
	}
}

// index returns the entries by how they are called.
func index[T any](kind string, list []T, name func(*T) string) map[string]*T {
	m := map[string]*T{}
	seen := names{}
	for i := range list {
		m[seen.next(kind, name(&list[i]))] = &list[i]
	}
	return m
}

// compareFields adds the fields that differ. Both lists have the same fields.
func (c *comparison) compareFields(where string, before, after []field) {
	for i := range before {
		if before[i].value != after[i].value {
			c.addField(Change, where, before[i].name, fmt.Sprintf("%s: %s -> %s", before[i].name, orNone(before[i].value), orNone(after[i].value)))
		}
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// describe returns the fields that have a value as one line.
func describe(fields []field) string {
	var parts []string
	for _, f := range fields {
		if f.value != "" {
			parts = append(parts, f.name+" "+f.value)
		}
	}
	return strings.Join(parts, ", ")
}

func (c *comparison) compareWorkspaces(before, after []boragewick.WorkspaceRule) {
	compareEntries(c, "workspace", before, after, workspaceName, workspaceFields)
	old := index("workspace", before, workspaceName)
	seen := names{}
	for i := range after {
		where := seen.next("workspace", after[i].Name)
		if previous, ok := old[where]; ok {
			c.compareKeys(where, previous.Keys, after[i].Keys)
		}
	}
}

// compareKeys adds the keys that are added and removed. Their order has no meaning.
func (c *comparison) compareKeys(where string, before, after []string) {
	for _, list := range []struct {
		verb      string
		keys, not []string
	}{{"added", after, before}, {"removed", before, after}} {
		not := map[string]bool{}
		for _, key := range list.not {
			not[key] = true
		}
		var shown []string
		for _, key := range list.keys {
			if !not[key] {
				shown = append(shown, shorten(key))
			}
		}
		if len(shown) > 0 {
			c.addField(Change, where, "keys", fmt.Sprintf("keys %s: %s", list.verb, strings.Join(shown, ", ")))
		}
	}
}

func routeName(r *boragewick.HostRoute) string         { return r.Name }
func poolName(p *boragewick.PoolRule) string           { return p.Name }
func workspaceName(w *boragewick.WorkspaceRule) string { return w.Name }

func routeFields(r *boragewick.HostRoute) []field {
	var pools []string
	for _, p := range r.Pools {
		pools = append(pools, fmt.Sprintf("%s with weight %d", p.Pool, p.Weight))
	}
	return []field{
		{"host", r.Host},
		{"prefix", r.Prefix},
		{"kind", kindName(r.Kind)},
		{"pools", strings.Join(pools, " and ")},
		{"timeout", r.Timeout.String()},
		{"target latency", r.TargetLatency.String()},
		{"target gap", r.TargetGap.String()},
		{"rank", strconv.Itoa(r.Rank)},
		{"attempts", strconv.Itoa(r.Attempts)},
		{"anonymous", strconv.FormatBool(r.AllowAnonymous)},
		{"resumable", strconv.FormatBool(r.Resumable)},
		{"session affinity", strconv.FormatBool(r.SessionAffinity)},
	}
}

func kindName(k boragewick.RepeatKind) string {
	switch k {
	case boragewick.Repeatable:
		return "repeatable"
	case boragewick.Streaming:
		return "streaming"
	default:
		return "run once"
	}
}

func poolFields(p *boragewick.PoolRule) []field {
	engine, store := "", ""
	if r := p.Engine; r != nil {
		models := slices.Clone(r.Models)
		slices.Sort(models)
		engine = fmt.Sprintf("%d slots, %d tokens of cache, models %s, moves %t, backups %t", r.Slots, r.CacheTokens, orNone(strings.Join(models, " and ")), r.Moves, r.Backups)
	}
	if r := p.Store; r != nil {
		store = fmt.Sprintf("%s in %s with %d tokens", r.Addr, orNone(r.Domain), r.Tokens)
	}
	return []field{
		{"health path", p.HealthPath},
		{"connections", strconv.Itoa(p.Connections)},
		{"engine", engine},
		{"store", store},
	}
}

// workspaceFields returns the fields; of the keys only their number, as they are
// compared one by one.
func workspaceFields(w *boragewick.WorkspaceRule) []field {
	rank := ""
	if w.Rank != nil {
		rank = strconv.Itoa(*w.Rank)
	}
	unit := "requests"
	if w.ByTokens {
		unit = "tokens"
	}
	return []field{
		{"keys", strconv.Itoa(len(w.Keys))},
		{"rank", rank},
		{"rate counts", unit},
		{"tokens of a request without a count", decimal(w.DefaultTokens)},
		{"cache isolated", strconv.FormatBool(w.CacheIsolated)},
		{"rate per second", decimal(w.PerSecond)},
		{"burst", decimal(w.Burst)},
	}
}

func limitFields(l *boragewick.CallerLimits) []field {
	return []field{
		{"header bytes", strconv.Itoa(l.HeaderBytes)},
		{"body bytes", strconv.FormatInt(l.BodyBytes, 10)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }
