package gateway

import (
	"strconv"
	"time"

	"github.com/boragewick/boragewick"
)

// selection returns the criteria by which the Placer selects an endpoint.
func (x *exchange) selection(avoid map[string]bool) boragewick.Selection {
	s := boragewick.Selection{
		Pool:          x.pool.Name,
		Kind:          boragewick.EndpointPlain,
		Deadline:      x.deadline,
		Route:         x.route.Name,
		Target:        x.target(),
		TargetLatency: x.route.TargetLatency,
		Bytes:         len(x.body),
		Avoid:         func(name string) bool { return avoid[name] },
	}
	if x.pool.Engine == nil {
		return s
	}
	s.Kind = boragewick.EndpointModel
	s.Model = boragewick.Model{Name: x.Model}
	if version := x.View().Weights[x.Model]; version > 0 {
		s.Model.Weights = strconv.FormatUint(version, 10)
		_, s.LeastWeights = x.leastWeights(newRequestFraction)
		s.CertainWeights, s.RequiredWeights = x.leastWeights(lastStartFraction)
		s.AgeUnknown = s.CertainWeights < s.RequiredWeights
	}
	s.PromptTokens = uint64(x.PromptTokens)
	s.OutputTokens = x.OutputTokens
	s.Bytes += x.OutputTokens * boragewick.BytesPerToken
	s.Prefix = x.Prefix
	s.CacheScope = x.cacheScope()
	s.Stores = x.view.Stores()
	return s
}

// target returns when the answer no longer has its full value, on Clock; zero if the route
// has no target latency.
func (x *exchange) target() time.Time {
	if x.route.TargetLatency <= 0 {
		return time.Time{}
	}
	return x.Clock.Now().Add(time.Until(x.started.Add(x.route.TargetLatency)))
}

// leastWeights returns the oldest version of the weights on which a request may
// start if older ones may be used until a fraction of WeightsGracePeriod has
// passed; zero without a bound. Versions of unknown age count for possible only.
func (x *exchange) leastWeights(fraction float64) (certain, possible uint64) {
	if x.WeightsGracePeriod <= 0 {
		return 0, 0
	}
	window := time.Duration(float64(x.WeightsGracePeriod) * fraction)
	return x.View().NewestWeightsBefore(x.Model, x.Clock.Now().Add(-window))
}

// cacheScope returns the scope within which cached prompt parts are shared: the
// workspace's own if it is isolated, otherwise one that is common to all.
func (x *exchange) cacheScope() string {
	if x.workspace != nil && x.workspace.CacheIsolated {
		return "w-" + x.workspace.Name
	}
	return "shared"
}
