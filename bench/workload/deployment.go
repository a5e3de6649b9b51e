package workload

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Deployment is the size and the traffic of one operator's fleet.
type Deployment struct {
	Name    string
	Runners int
	Domains int
	Routers int

	// shares are the workspaces' shares of the traffic.
	shares []float64
	// workspaceBlocks and groupBlocks are the lengths of the shared prefixes,
	// and groups is the number of the latter in each workspace.
	workspaceBlocks int
	groups          int
	groupBlocks     int
	kinds           []kind
}

// kind is one kind of session.
type kind struct {
	perSecond    float64
	document     span
	requests     span
	growth       span
	question     span
	output       span
	pauseSeconds float64
}

// span is a range of numbers with both ends.
type span [2]int

func (s span) draw(r *rand.Rand) int {
	return s[0] + r.IntN(s[1]-s[0]+1)
}

var deployments = []Deployment{
	{
		Name: "omuramba", Runners: 20, Domains: 4, Routers: 3,
		shares:          []float64{0.40, 0.25, 0.20, 0.10, 0.05},
		workspaceBlocks: 24, groups: 8, groupBlocks: 40,
		kinds: []kind{
			// Batch records, asked about again while they grow.
			{5, span{80, 320}, span{2, 8}, span{2, 12}, span{1, 4}, span{50, 200}, 2.5},
			// Short questions about the state of lots.
			{100, span{0, 0}, span{1, 1}, span{0, 0}, span{1, 3}, span{10, 60}, 1},
		},
	},
	{
		Name: "khambhatia", Runners: 10, Domains: 3, Routers: 2,
		shares:          []float64{0.45, 0.30, 0.15, 0.06, 0.04},
		workspaceBlocks: 8, groups: 4, groupBlocks: 200,
		kinds: []kind{
			// Lots to tag by a long sheet of grades and rules.
			{16, span{4, 10}, span{1, 2}, span{0, 0}, span{1, 2}, span{5, 30}, 1},
			// Conversations with shopkeepers.
			{3, span{20, 60}, span{3, 8}, span{3, 8}, span{1, 2}, span{50, 150}, 3},
		},
	},
}

// Deployments returns the names of the deployments.
func Deployments() []string {
	var names []string
	for _, d := range deployments {
		names = append(names, d.Name)
	}
	return names
}

// Named returns the deployment with the name or ErrBadSettings.
func Named(name string) (*Deployment, error) {
	for i := range deployments {
		if deployments[i].Name == name {
			return &deployments[i], nil
		}
	}
	return nil, errors.Wrapf(boragewick.ErrBadSettings, "no deployment %q", name)
}
