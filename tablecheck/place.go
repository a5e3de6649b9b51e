package tablecheck

import "github.com/boragewick/boragewick"

// limits is the kind and the name of the entry that holds the limits of all callers.
const limits = "limits"

// entry is the position of an entry of a table among those of its kind.
type entry struct {
	kind  string
	index int
}

// locate sets the entries of the findings, which name them as they are called in the table.
func locate(t *boragewick.RoutingTable, list []Finding) {
	entries := map[string]entry{limits: {kind: limits}}
	addEntries(entries, "route", t.Routes, routeName)
	addEntries(entries, "pool", t.Pools, poolName)
	addEntries(entries, "workspace", t.Workspaces, workspaceName)
	for i := range list {
		f := &list[i]
		if e, ok := entries[f.Where]; ok && f.Kind == "" {
			f.Kind, f.Index = e.kind, e.index
		}
	}
}

// addEntries adds the entries of one kind by how they are called.
func addEntries[T any](entries map[string]entry, kind string, list []T, name func(*T) string) {
	seen := names{}
	for i := range list {
		entries[seen.next(kind, name(&list[i]))] = entry{kind, i}
	}
}
