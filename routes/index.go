// Package routes finds the route of a request and the workspace of a key in a
// routing table.
package routes

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"

	"github.com/boragewick/boragewick"
)

// Index is a routing table indexed for look-ups. It is not changed after New;
// the zero Index is empty.
type Index struct {
	Table *boragewick.RoutingTable

	hosts   map[string]map[string]*boragewick.HostRoute
	tenants map[string]*boragewick.WorkspaceRule
	named   map[string]*boragewick.WorkspaceRule
	pools   map[string]*boragewick.PoolRule
	stores  []netip.AddrPort
}

// New returns the Index of the table.
func New(t *boragewick.RoutingTable) *Index {
	x := &Index{
		Table:   t,
		hosts:   map[string]map[string]*boragewick.HostRoute{},
		tenants: map[string]*boragewick.WorkspaceRule{},
		named:   map[string]*boragewick.WorkspaceRule{},
		pools:   map[string]*boragewick.PoolRule{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		if x.hosts[host] == nil {
			x.hosts[host] = map[string]*boragewick.HostRoute{}
		}
		x.hosts[host][r.Prefix] = r
	}
	for i := range t.Workspaces {
		x.named[t.Workspaces[i].Name] = &t.Workspaces[i]
		for _, key := range t.Workspaces[i].Keys {
			x.tenants[key] = &t.Workspaces[i]
		}
	}
	for i := range t.Pools {
		x.pools[t.Pools[i].Name] = &t.Pools[i]
		if store := t.Pools[i].Store; store != nil {
			x.stores = append(x.stores, store.Addr)
		}
	}
	return x
}

// Route returns the route of the host with the longest prefix of the path, or
// nil. Prefixes end with a slash.
func (x *Index) Route(host, path string) *boragewick.HostRoute {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	prefixes := x.hosts[strings.ToLower(host)]
	for len(prefixes) > 0 && path != "" {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
		path = path[:end]
	}
	return nil
}

// Workspace returns the workspace that holds the key, or nil.
func (x *Index) Workspace(key string) *boragewick.WorkspaceRule {
	return x.tenants[key]
}

// WorkspaceNamed returns the workspace with the name, or nil.
func (x *Index) WorkspaceNamed(name string) *boragewick.WorkspaceRule {
	return x.named[name]
}

// Pool returns the rule of the pool, or nil.
func (x *Index) Pool(name string) *boragewick.PoolRule {
	return x.pools[name]
}

// Stores returns the addresses of the stores of KV cache.
func (x *Index) Stores() []netip.AddrPort { return x.stores }

// Choose returns one of the route's pools at random, in proportion to their
// weights, or nil if none has a weight.
func (x *Index) Choose(r *boragewick.HostRoute) *boragewick.PoolRule {
	total := 0
	for _, p := range r.Pools {
		total += p.Weight
	}
	if total <= 0 {
		return nil
	}
	n := rand.IntN(total)
	for _, p := range r.Pools {
		if n -= p.Weight; n < 0 {
			return x.pools[p.Pool]
		}
	}
	return nil
}
