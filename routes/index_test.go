package routes

import (
	"testing"

	"github.com/boragewick/boragewick"
)

func table() *boragewick.RoutingTable {
	return &boragewick.RoutingTable{
		Version: 3,
		Routes: []boragewick.HostRoute{
			{Name: "short", Host: "a.example", Prefix: "/x/", Pools: []boragewick.WeightedPool{{Pool: "one", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Pools: []boragewick.WeightedPool{{Pool: "one", Weight: 3}, {Pool: "two", Weight: 1}}},
			{Name: "other", Host: "B.example", Prefix: "/", Pools: []boragewick.WeightedPool{{Pool: "none", Weight: 0}}},
		},
		Pools:      []boragewick.PoolRule{{Name: "one"}, {Name: "two"}},
		Workspaces: []boragewick.WorkspaceRule{{Name: "north", Keys: []string{"k1", "k2"}}},
	}
}

func TestRoute(t *testing.T) {
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":             {"a.example", "/x/y/z", "long"},
		"prefix itself":              {"a.example", "/x/", "short"},
		"prefix without its slash":   {"a.example", "/x", ""},
		"longer prefix mid-segment":  {"a.example", "/x/yy", "short"},
		"host in capitals with port": {"A.EXAMPLE:80", "/x/1", "short"},
		"root of another host":       {"b.example", "/q/w", "other"},
		"unknown host":               {"c.example", "/x/", ""},
		"empty path":                 {"a.example", "", ""},
		"path without a slash":       {"a.example", "x", ""},
		"dot segments not resolved":  {"a.example", "/x/../y/", "short"},
	}
	x := New(table())
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := x.Route(test.host, test.path); r != nil {
				got = r.Name
			}
			if got != test.want {
				t.Errorf("route %q, want %q", got, test.want)
			}
		})
	}
}

func TestWorkspaceAndPool(t *testing.T) {
	x := New(table())
	if got := x.Workspace("k2"); got == nil || got.Name != "north" {
		t.Errorf("workspace of k2: %v", got)
	}
	if got := x.Workspace("k3"); got != nil {
		t.Errorf("workspace of an unknown key: %v", got)
	}
	if x.Pool("two") == nil || x.Pool("three") != nil {
		t.Error("pools are not found by name")
	}
}

func TestChooseFollowsWeights(t *testing.T) {
	x := New(table())
	counts := map[string]int{}
	for range 4000 {
		counts[x.Choose(x.Route("a.example", "/x/y/")).Name]++
	}
	if n := counts["one"]; n < 2800 || n > 3200 {
		t.Errorf("pool one chosen %d times of 4000, want 2800 to 3200", n)
	}
	if p := x.Choose(x.Route("b.example", "/")); p != nil {
		t.Errorf("a route without weights chose %s", p.Name)
	}
}
