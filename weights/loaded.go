package weights

import "maps"

// loadedWeights are the versions of the weights that one run of an engine reported, by
// model.
type loadedWeights struct {
	started int64
	weights map[string]uint64
}

// recordLoaded records the version that the engine of the job reported.
func (u *Upgrader) recordLoaded(j *job, version uint64) {
	seen, ok := u.loaded[j.endpoint.Name]
	if !ok || seen.started != j.endpoint.Started {
		seen = loadedWeights{started: j.endpoint.Started}
	}
	seen.weights = newestWeights(seen.weights, map[string]uint64{j.model: version})
	u.loaded[j.endpoint.Name] = seen
}

// newestWeights returns the newer version of each model. It changes neither argument,
// as directives share them.
func newestWeights(a, b map[string]uint64) map[string]uint64 {
	newest := maps.Clone(a)
	if newest == nil {
		newest = map[string]uint64{}
	}
	for model, version := range b {
		newest[model] = max(newest[model], version)
	}
	return newest
}
