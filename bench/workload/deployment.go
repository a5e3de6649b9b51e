package workload

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Deployment describes the size and the traffic of one operator's fleet.
type Deployment struct {
	Name    string
	Runners int
	Domains int
	Routers int

	// shares are the fractions of the traffic that each workspace sends.
	shares []float64
	// workspaceBlocks and groupBlocks are the lengths of the prefixes shared by
	// a workspace and by a group; groups is the number of groups in each
	// workspace.
	workspaceBlocks int
	groups          int
	groupBlocks     int
	kinds           []sessionKind
}

// sessionKind describes one kind of session. Lengths are in blocks, except that
// output is in tokens.
type sessionKind struct {
	perSecond    float64
	document     intRange
	requests     intRange
	growth       intRange
	question     intRange
	output       intRange
	pauseSeconds float64
}

// intRange is a range of integers, both ends included.
type intRange [2]int

func (s intRange) draw(r *rand.Rand) int {
	return s[0] + r.IntN(s[1]-s[0]+1)
}

var deployments = []Deployment{
	{
		Name: "omuramba", Runners: 20, Domains: 4, Routers: 3,
		shares:          []float64{0.40, 0.25, 0.20, 0.10, 0.05},
		workspaceBlocks: 24, groups: 8, groupBlocks: 40,
		kinds: []sessionKind{
			// Repeated questions about batch records that grow in between.
			{5, intRange{80, 320}, intRange{2, 8}, intRange{2, 12}, intRange{1, 4}, intRange{50, 200}, 2.5},
			// Short questions about the state of lots.
			{100, intRange{0, 0}, intRange{1, 1}, intRange{0, 0}, intRange{1, 3}, intRange{10, 60}, 1},
		},
	},
	{
		Name: "khambhatia", Runners: 10, Domains: 3, Routers: 2,
		shares:          []float64{0.45, 0.30, 0.15, 0.06, 0.04},
		workspaceBlocks: 8, groups: 4, groupBlocks: 200,
		kinds: []sessionKind{
			// Tagging of lots by a long shared sheet of grades and rules.
			{16, intRange{4, 10}, intRange{1, 2}, intRange{0, 0}, intRange{1, 2}, intRange{5, 30}, 1},
			// Conversations with shopkeepers.
			{3, intRange{20, 60}, intRange{3, 8}, intRange{3, 8}, intRange{1, 2}, intRange{50, 150}, 3},
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

// DeploymentByName returns the deployment with the name, or ErrBadSettings if
// there is none.
func DeploymentByName(name string) (*Deployment, error) {
	for i := range deployments {
		if deployments[i].Name == name {
			return &deployments[i], nil
		}
	}
	return nil, errors.Wrapf(boragewick.ErrBadSettings, "no deployment %q", name)
}
