package placement

import "github.com/boragewick/boragewick"

// waitingRequestTokens is the memory that a waiting request is assumed to need at an engine
// without running requests.
const waitingRequestTokens = 3000

// memoryUse returns the share of the engine's memory that would be in use with the request
// and those that wait there, given that the engine has the first cached parts; zero if
// unknown.
func (s *endpointState) memoryUse(sel *boragewick.Selection, cached int) float64 {
	r := s.report
	if r == nil || r.totalTokens <= 0 {
		return 0
	}
	return float64(r.neededTokens()+addedTokens(sel, cached)) / float64(r.totalTokens)
}

// neededTokens returns the memory that is in use and that waiting requests ask for. Each of
// these is taken for an average one.
func (r *agentReport) neededTokens() int {
	waiting := waitingRequestTokens
	if r.active > 0 {
		waiting = r.usedTokens / r.active
	}
	return r.usedTokens + r.queued*waiting + r.sentTokens
}

// addedTokens returns the memory that the request adds at an engine that has the first
// cached parts.
func addedTokens(sel *boragewick.Selection, cached int) int {
	return max(0, int(sel.PromptTokens)-leadingTokens(sel, cached)) + sel.OutputTokens
}
