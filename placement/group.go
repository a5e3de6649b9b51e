package placement

import (
	"cmp"
	"crypto/rand"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// subsetDivisor sets the share of the endpoints, 1/subsetDivisor, to which
	// prompts with the same first part go.
	subsetDivisor = 6
	// minSubset is the least number of endpoints to which such prompts go.
	minSubset = 2
)

// weightsGroup is the set of endpoints that have the same version of a model's
// weights and the same software, and so may use each other's cached parts.
type weightsGroup struct {
	// weights is the version of the weights; empty if unknown. scope separates cached
	// parts that must not be shared.
	weights string
	scope   string
	// build is the software of the endpoints.
	build boragewick.Build
	// partKeys and partTokens are the cache keys and the numbers of tokens of the
	// parts that requests may share.
	partKeys      []uint64
	partTokens    []int
	endpointCount int
	// old reports whether the weights are too old for the request. candidates counts
	// the endpoints that are returned.
	old        bool
	candidates int
	// stores are the stores that are up. targetStore is the one that is to store
	// the prompt; it is invalid if none is.
	stores      []*store
	targetStore netip.AddrPort
	// subset are the endpoints to which all routers send prompts that begin with
	// the same part. home is the one of them for the deepest shared part.
	subset []scoredEndpoint
	home   *endpointState
	// holders[i] are endpoints that have the first i+1 shared parts cached.
	holders []holderPair
	// byZone reports whether an endpoint in the same zone is preferred to fetch from.
	// zoneHolders has the holders in each zone then.
	byZone      bool
	zoneHolders map[string][]holderPair
}

// holderPair is up to two endpoints that have the same leading parts cached. The
// embedded one is where this router used the last of these parts most recently,
// at lastUsed.
type holderPair struct {
	*endpointState
	lastUsed time.Time
	second   *endpointState
}

// scoredEndpoint is an endpoint with its rendezvous score for a part.
type scoredEndpoint struct {
	*endpointState
	score uint64
}

// newWeightsGroup returns a group without endpoints. The last part of a prompt is
// taken to be the request's own, and not shared, unless it is the only part. Endpoints of
// unknown weights may have different versions, and change them unnoticed: requests to them
// share no parts, and each has a scope of its own.
func newWeightsGroup(s *boragewick.Selection, weights string, build boragewick.Build) *weightsGroup {
	g := &weightsGroup{weights: weights, scope: s.CacheScope, build: build}
	if weights == "" {
		if g.scope != "" {
			g.scope += "." + rand.Text()
		}
		return g
	}
	g.scope += "." + weights
	if build != 0 {
		g.scope += "." + build.String()
	}
	shared := s.Prefix
	if len(shared) > 1 {
		shared = shared[:len(shared)-1]
	}
	for _, part := range shared {
		g.partKeys = append(g.partKeys, boragewick.CachedPartKey(g.scope, part.ID))
		g.partTokens = append(g.partTokens, part.Tokens)
	}
	g.holders = make([]holderPair, len(g.partKeys))
	return g
}

// add adds an endpoint and updates the holders of the parts that it has cached. It
// returns how many leading parts these are.
func (g *weightsGroup) add(s *endpointState, now time.Time) int {
	g.endpointCount++
	if len(g.partKeys) == 0 {
		return 0
	}
	g.subset = append(g.subset, scoredEndpoint{s, mix(g.partKeys[0], s.seed)})
	known := s.cachedParts(g, now)
	zone := g.holdersIn(s.FailureDomain, known)
	for i := range known {
		used := s.partsLastUsed[g.partKeys[i]]
		g.holders[i].add(s, used)
		if zone != nil {
			zone[i].add(s, used)
		}
	}
	return known
}

// add adds an endpoint that used the last of the parts at the given time.
func (h *holderPair) add(s *endpointState, used time.Time) {
	if h.endpointState == nil || used.After(h.lastUsed) {
		h.second = h.endpointState
		h.endpointState, h.lastUsed = s, used
	} else if h.second == nil {
		h.second = s
	}
}

// except returns one of the endpoints other than s, or nil.
func (h *holderPair) except(s *endpointState) *endpointState {
	if h.endpointState != nil && h.endpointState != s {
		return h.endpointState
	}
	if h.second != s {
		return h.second
	}
	return nil
}

// assignHome selects subset and home by rendezvous hashing. It must be called
// after all endpoints have been added.
func (g *weightsGroup) assignHome() {
	if len(g.partKeys) == 0 {
		return
	}
	slices.SortFunc(g.subset, func(a, b scoredEndpoint) int { return cmp.Compare(b.score, a.score) })
	g.subset = g.subset[:min(len(g.subset), max(minSubset, g.endpointCount/subsetDivisor))]
	deepest := g.partKeys[len(g.partKeys)-1]
	var best uint64
	for _, r := range g.subset {
		if score := mix(deepest, r.seed); g.home == nil || score > best {
			g.home, best = r.endpointState, score
		}
	}
}

// expectedParts returns how many leading parts the endpoint may have cached for
// other routers. It is 0 if an agent reports what the endpoint has cached.
func (g *weightsGroup) expectedParts(s *endpointState) int {
	if s.report != nil {
		return 0
	}
	if g.home == s {
		return len(g.partKeys)
	}
	if slices.ContainsFunc(g.subset, func(r scoredEndpoint) bool { return r.endpointState == s }) {
		return 1
	}
	return 0
}

// fetchSource returns an endpoint from which s, which has the first known parts
// cached, may fetch more, and how many leading parts that endpoint has. It is nil
// if there is none.
func (g *weightsGroup) fetchSource(s *endpointState, known int) (*endpointState, int) {
	for i := len(g.holders) - 1; i >= known; i-- {
		if e := g.zoneHolder(s, i); e != nil {
			return e, i + 1
		}
		if e := g.holders[i].except(s); e != nil {
			return e, i + 1
		}
		if i == len(g.holders)-1 && g.home != nil && g.home != s && g.home.report == nil {
			return g.home, i + 1 // other routers send this prompt there, too
		}
	}
	return nil, 0
}

// isOlderThan reports whether the group's weights are unknown or older than the version; no
// weights are older than version zero.
func (g *weightsGroup) isOlderThan(version uint64) bool {
	if version == 0 {
		return false
	}
	have, err := strconv.ParseUint(g.weights, 10, 64)
	return err != nil || have < version
}
