package boragewick

import (
	"iter"
	"net/netip"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
)

// RoutingTable is one complete published configuration of a deployment. It is
// not modified once it is in use.
type RoutingTable struct {
	// Version orders tables; the highest one is in force.
	Version uint64
	Routes  []HostRoute
	Pools   []PoolRule
	// Workspaces are the workspaces with their keys and rates. If there are
	// none, no request needs a key.
	Workspaces []WorkspaceRule
	Limits     CallerLimits
}

// HostRoute routes the requests of one host and path prefix to pools.
type HostRoute struct {
	Name   string
	Host   string
	Prefix string
	Kind   RepeatKind
	Pools  []WeightedPool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream.
	TargetGap time.Duration
	// AbandonedAfter is how long callers wait for an event of a stream before they give
	// up; zero means as long as for the whole answer.
	AbandonedAfter time.Duration
	// Rank is the priority; zero is the highest.
	Rank int
	// Attempts limits the number of endpoints to which one request may be sent.
	Attempts int
	// AllowAnonymous reports whether callers need no key.
	AllowAnonymous bool
	// Resumable reports whether a broken stream may resume at another endpoint.
	Resumable bool
	// SessionAffinity reports whether requests carry the parts of their prompt.
	SessionAffinity bool
}

// RepeatKind defines whether a request may be run again.
type RepeatKind uint8

// The kinds of requests.
const (
	// RunOnce requests run at most once.
	RunOnce RepeatKind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Streaming requests answer with an event stream. They run at most once
	// unless their route is resumable.
	Streaming
)

// WeightedPool is one pool of a route and its share of the requests.
type WeightedPool struct {
	Pool   string
	Weight int
}

// PoolRule describes the endpoints of one pool.
type PoolRule struct {
	Name       string
	HealthPath string
	// Connections is the number of connections that an endpoint accepts from all
	// routers together.
	Connections int
	// Engine is nil for pools of plain endpoints.
	Engine *EngineRule
	// Store is set for a KV cache store, which serves no requests.
	Store *StoreRule
}

// EngineRule describes the model engines of a pool.
type EngineRule struct {
	// Slots is the maximum batch size.
	Slots int
	// CacheTokens is the memory in tokens that running requests and cached parts
	// share.
	CacheTokens int
	Models      []string
	// Moves reports whether running requests can be moved between the engines.
	Moves bool
	// Backups reports whether engines copy running requests to others as they
	// grow.
	Backups bool
}

// StoreRule describes a KV cache store.
type StoreRule struct {
	Addr   netip.AddrPort
	Domain string
	Tokens int
}

// WorkspaceRule is a workspace with its keys, rate and cache isolation.
type WorkspaceRule struct {
	Name string
	Keys []string
	// Rank replaces the route's rank; nil keeps it.
	Rank *int
	// ByTokens reports whether the rate counts tokens instead of requests.
	ByTokens bool
	// DefaultTokens is what a request without a token count costs.
	DefaultTokens uint64
	// CacheIsolated reports whether the workspace shares no cache with others.
	CacheIsolated bool
	// PerSecond and Burst limit the use across all routers; zero means no limit.
	PerSecond uint64
	Burst     uint64
}

// CallerLimits bound what callers may send and how long they may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ErrBadTable marks a routing table that cannot take effect.
var ErrBadTable = errors.New("bad routing table")

// Check returns ErrBadTable if the table contradicts itself.
func (t *RoutingTable) Check() error {
	for err := range t.Contradictions() {
		return err
	}
	return nil
}

// Contradictions returns each reason for which Check fails, as an ErrBadTable.
func (t *RoutingTable) Contradictions() iter.Seq[error] {
	return func(yield func(error) bool) {
		_ = t.yieldNames(yield) && t.yieldRoutes(yield) && t.yieldKeys(yield)
	}
}

// yieldNames yields names that can't be sent in a header of a request. It returns
// false once yield does.
func (t *RoutingTable) yieldNames(yield func(error) bool) bool {
	for i := range t.Pools {
		if err := checkHeaderText("pool", t.Pools[i].Name); err != nil && !yield(&TableEntryError{"pool", i, "name", err}) {
			return false
		}
	}
	for i := range t.Workspaces {
		if err := checkHeaderText("workspace", t.Workspaces[i].Name); err != nil && !yield(&TableEntryError{"workspace", i, "name", err}) {
			return false
		}
	}
	return true
}

// checkHeaderText returns ErrBadTable if the name can't be sent in a header of a request.
func checkHeaderText(kind, name string) error {
	if strings.ContainsFunc(name, unicode.IsControl) {
		return errors.Wrapf(ErrBadTable, "control character in the name of the %s %.64q", kind, name)
	}
	return nil
}

// yieldRoutes yields routes that can't be served and routes at the location of
// another one. It returns false once yield does.
func (t *RoutingTable) yieldRoutes(yield func(error) bool) bool {
	pools := map[string]bool{}
	for i := range t.Pools {
		pools[t.Pools[i].Name] = true
	}
	locations := map[string]bool{}
	for i := range t.Routes {
		r := &t.Routes[i]
		entry := func(field string, err error) bool { return yield(&TableEntryError{"route", i, field, err}) }
		if !r.yieldErrors(pools, entry) {
			return false
		}
		location := strings.ToLower(r.Host) + " " + r.Prefix
		if locations[location] && !entry("prefix", errors.Wrapf(ErrBadTable, "two routes at %s", location)) {
			return false
		}
		locations[location] = true
	}
	return true
}

// yieldErrors yields why the route can't be served, with the field. It returns false once yield
// does.
func (r *HostRoute) yieldErrors(pools map[string]bool, yield func(field string, err error) bool) bool {
	weighted := false
	for _, p := range r.Pools {
		if !pools[p.Pool] && !yield("pools", errors.Wrapf(ErrBadTable, "route %s names the unknown pool %s", r.Name, p.Pool)) {
			return false
		}
		if p.Weight < 0 && !yield("pools", errors.Wrapf(ErrBadTable, "route %s has a negative weight", r.Name)) {
			return false
		}
		weighted = weighted || p.Weight > 0
	}
	if !weighted && !yield("pools", errors.Wrapf(ErrBadTable, "route %s has no weight", r.Name)) {
		return false
	}
	return r.Timeout > 0 || yield("timeout", errors.Wrapf(ErrBadTable, "route %s has no timeout", r.Name))
}

// yieldKeys yields keys that two workspaces share. It returns false once yield
// does.
func (t *RoutingTable) yieldKeys(yield func(error) bool) bool {
	owners := map[string]string{}
	for i := range t.Workspaces {
		name := t.Workspaces[i].Name
		for _, key := range t.Workspaces[i].Keys {
			owner, ok := owners[key]
			if ok && owner != name && !yield(&TableEntryError{"workspace", i, "keys", errors.Wrapf(ErrBadTable, "%s and %s share a key", owner, name)}) {
				return false
			}
			owners[key] = name
		}
	}
	return true
}
