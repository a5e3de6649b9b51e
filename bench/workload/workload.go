// Package workload generates the requests of a deployment from a seed, so that
// policies can be compared on exactly the same requests.
package workload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Start is the instant at which every workload starts.
var Start = time.Unix(1_700_000_000, 0).UTC()

// The names of the scenarios and their parameters.
const (
	Steady       = "steady"
	HotShift     = "hot-shift"
	TenfoldLoad  = "tenfold"
	EngineCrash  = "crashes"
	DomainLost   = "domain-lost"
	seconds      = 60
	hotShare     = 0.35
	hotBlocks    = 250
	tenfoldStart = seconds / 3
	tenfoldEnd   = 2 * seconds / 3
)

// Scenarios lists the scenarios.
var Scenarios = []string{Steady, HotShift, TenfoldLoad, EngineCrash, DomainLost}

// Seconds is the length of every workload.
const Seconds = seconds

// Request is one recorded request.
type Request struct {
	At           time.Time
	Workspace    boragewick.ID
	Blocks       []boragewick.BlockHash
	PromptTokens uint64
	OutputTokens int
}

// Generate returns the requests of a deployment in a scenario, in order of
// arrival. It returns ErrBadSettings if there is no such scenario.
func Generate(d *Deployment, scenario string, seed uint64) ([]Request, error) {
	if !slices.Contains(Scenarios, scenario) {
		return nil, errors.Wrapf(boragewick.ErrBadSettings, "scenario %q is none of %v", scenario, Scenarios)
	}
	g := generator{Deployment: d, scenario: scenario, rand: rand.New(rand.NewPCG(seed, 1))}
	for w := range d.shares {
		g.addWorkspace(w)
	}
	slices.SortStableFunc(g.out, func(a, b Request) int { return a.At.Compare(b.At) })
	return g.out, nil
}

// generator generates requests session by session. A session is a series of
// requests about one document, whose prompts start with the prefixes of the
// workspace and the group.
type generator struct {
	*Deployment

	scenario string
	rand     *rand.Rand
	out      []Request
}

func (g *generator) addWorkspace(w int) {
	id := boragewick.ID(fmt.Sprintf("workspace_%d", w+1))
	base := g.extend(nil, g.workspaceBlocks)
	groups := make([][]boragewick.BlockHash, g.groups)
	for i := range groups {
		groups[i] = g.extend(base, g.groupBlocks)
	}
	hot := [2][]boragewick.BlockHash{g.extend(base, hotBlocks), g.extend(base, hotBlocks)}
	zipf := rand.NewZipf(g.rand, 1.3, 1, uint64(g.groups-1))
	for _, k := range g.kinds {
		g.poissonArrivals(w, k.perSecond*g.shares[w], func(at float64) {
			prefix := groups[zipf.Uint64()]
			if g.scenario == HotShift && at > seconds/3 && g.rand.Float64() < hotShare {
				prefix = hot[min(int(at/(seconds*2.0/3)), 1)]
			}
			g.addSession(id, &k, at, prefix)
		})
	}
}

// poissonArrivals calls f with the arrival times, in seconds, of a Poisson
// process.
func (g *generator) poissonArrivals(w int, perSecond float64, f func(at float64)) {
	for at := 0.0; at < seconds; {
		rate := perSecond
		if g.scenario == TenfoldLoad && w == len(g.shares)-1 && at >= tenfoldStart && at < tenfoldEnd {
			rate *= 10
		}
		at += g.rand.ExpFloat64() / rate
		f(at)
	}
}

// addSession adds the requests of one session, whose document grows with each
// request.
func (g *generator) addSession(id boragewick.ID, k *sessionKind, at float64, prefix []boragewick.BlockHash) {
	document := g.extend(prefix, k.document.draw(g.rand))
	for range k.requests.draw(g.rand) {
		if at >= seconds {
			return
		}
		document = g.extend(document, k.growth.draw(g.rand))
		blocks := g.extend(document, k.question.draw(g.rand))
		g.out = append(g.out, Request{
			At:           Start.Add(time.Duration(at * float64(time.Second))),
			Workspace:    id,
			Blocks:       blocks,
			PromptTokens: uint64(len(blocks)*boragewick.BlockTokens + g.rand.IntN(boragewick.BlockTokens)),
			OutputTokens: k.output.draw(g.rand),
		})
		at += g.rand.ExpFloat64() * k.pauseSeconds
	}
}

// extend returns the prefix followed by n random blocks that no other prefix
// contains.
func (g *generator) extend(prefix []boragewick.BlockHash, n int) []boragewick.BlockHash {
	out := slices.Clip(slices.Clone(prefix))
	for range n {
		out = append(out, boragewick.BlockHash(g.rand.Uint64()))
	}
	return out
}
