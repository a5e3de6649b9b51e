package boragewick

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestRoutingTableCheck(t *testing.T) {
	route := func(edit func(*HostRoute)) HostRoute {
		r := HostRoute{Name: "r", Host: "a", Prefix: "/", Timeout: time.Second, Pools: []WeightedPool{{Pool: "p", Weight: 1}}}
		if edit != nil {
			edit(&r)
		}
		return r
	}
	tests := map[string]struct {
		routes  []HostRoute
		tenants []WorkspaceRule
		bad     bool
	}{
		"sound":                  {routes: []HostRoute{route(nil)}},
		"unknown pool":           {routes: []HostRoute{route(func(r *HostRoute) { r.Pools[0].Pool = "q" })}, bad: true},
		"no weight":              {routes: []HostRoute{route(func(r *HostRoute) { r.Pools[0].Weight = 0 })}, bad: true},
		"no pools":               {routes: []HostRoute{route(func(r *HostRoute) { r.Pools = nil })}, bad: true},
		"negative weight":        {routes: []HostRoute{route(func(r *HostRoute) { r.Pools[0].Weight = -1 })}, bad: true},
		"no timeout":             {routes: []HostRoute{route(func(r *HostRoute) { r.Timeout = 0 })}, bad: true},
		"same host and prefix":   {routes: []HostRoute{route(nil), route(func(r *HostRoute) { r.Host = "A" })}, bad: true},
		"same prefix, two hosts": {routes: []HostRoute{route(nil), route(func(r *HostRoute) { r.Host = "b" })}},
		"shared key":             {tenants: []WorkspaceRule{{Name: "x", Keys: []string{"k"}}, {Name: "y", Keys: []string{"k"}}}, bad: true},
		"huge weights":           {routes: []HostRoute{route(func(r *HostRoute) { r.Pools = slices.Repeat([]WeightedPool{{"p", 1 << 62}}, 4) })}},
		"line break in a name":   {tenants: []WorkspaceRule{{Name: "x\r\nX-Other: 1"}}, bad: true},
		"name beyond ASCII":      {tenants: []WorkspaceRule{{Name: "é"}}},
		"one key listed twice":   {tenants: []WorkspaceRule{{Name: "x", Keys: []string{"k", "k"}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := &RoutingTable{Version: 1, Pools: []PoolRule{{Name: "p"}}, Routes: test.routes, Workspaces: test.tenants}
			if err := table.Check(); errors.Is(err, ErrBadTable) != test.bad {
				t.Errorf("check: %v, want bad %t", err, test.bad)
			}
		})
	}
}
