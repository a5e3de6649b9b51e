package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// minCrashes is the number of crashes in sequence after which a part is due if
	// it was in use in every outage since its first one. Sound parts that are rarely
	// used are in a few crashes in sequence by chance.
	minCrashes = 4
	// minEngineCrashes is the number of crashes, in sequence or not, of which
	// minEngineSequence in sequence are enough in that case.
	minEngineCrashes  = 5
	minEngineSequence = 3
	// minPartialCrashes is the number of crashes in sequence that a part needs if it
	// was in use in half of the outages, and minOtherCrashes if in fewer.
	minPartialCrashes = 5
	minOtherCrashes   = 8
	// minAnsweredCrashes is the number of crashes in sequence that a part needs of which
	// routers had answers shortly before, or whose crashes other parts explain.
	minAnsweredCrashes = 8
	// minRequestCrashes is the number of crashes in sequence after which a whole request is
	// due.
	minRequestCrashes = 3
	// minRequests is the number of different requests with a part that must have been in
	// progress at crashes, as a request that crashes engines itself comes again.
	minRequests = 3
	// explainingFactor is how many times as many crashes as a whole request a part must
	// have to explain those of the request.
	explainingFactor = 2
	// minRepeatCrashes is the number of crashes that a part needs that was in
	// quarantine before.
	minRepeatCrashes = 1
	// maxTiedCrashes is the number of crashes in sequence up to which no part is due
	// while another one that is has as many.
	maxTiedCrashes = 4
	// maxActive bounds the parts in quarantine, and maxUnanswered those while no request
	// for their model is answered, as when its weights are bad.
	maxActive     = 32
	maxUnanswered = 4
	// maxActiveRequests bounds the whole requests in quarantine.
	maxActiveRequests = 64
	// settleTime is how old a crash must be, so that the reports of all routers have
	// arrived.
	settleTime = 250 * time.Millisecond
	// minSuspicion is the least time from the first crash of a part until it is due, as
	// a part that sound requests share is answered within it.
	minSuspicion = 2 * time.Second
	// minAnsweredSuspicion is the same for a part that had answers shortly before.
	minAnsweredSuspicion = 3 * time.Second
	// outageTime is the longest time between two crashes of one outage.
	outageTime = 200 * time.Millisecond
)

// judgement selects the parts and whole requests that are due. A crash is explained by one
// part and counts for no other.
type judgement struct {
	now time.Time
	// known holds the parts that are or were in quarantine, and active the number of
	// those that are.
	known  map[uint64]boragewick.QuarantinedPart
	active int
	// activeRequests is the number of whole requests in quarantine, which don't count in
	// active.
	activeRequests int
	// outages holds the unexplained crashes that have settled, in order; those of one
	// outage together.
	outages [][]*crash
	// position holds the number of the outage of each of these crashes.
	position map[*crash]int
	// strong holds the crashes of each part that crashed engines several times in
	// sequence and was not answered before.
	strong    map[uint64][]*crash
	explained map[*crash]bool
	// requests holds the whole request in quarantine that was in use at each of these
	// crashes. They count for its parts too, as one of these may be what crashes endpoints.
	requests map[*crash]request
}

// request is a whole request in quarantine.
type request struct {
	*evidence
	key uint64
}

// Due returns the parts that are to be put into quarantine.
func (d *Detector) Due(quarantined []boragewick.QuarantinedPart) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.evict(now)
	if len(d.parts) == 0 {
		return nil
	}
	j := judgement{now: now, known: map[uint64]boragewick.QuarantinedPart{}, explained: map[*crash]bool{}, requests: map[*crash]request{}}
	for _, q := range quarantined {
		j.known[q.Part] = q
		if q.Active {
			j.explain(q.Part, q.Whole, d.parts[q.Part])
		}
	}
	// Whole requests come first: a request explains its crashes better than its parts do.
	j.group(d.crashes)
	due := j.dueRequests(d.parts)
	j.blameAll(due, d.parts)
	for {
		j.group(d.crashes)
		best := j.best(d.parts)
		if len(best) == 0 {
			break
		}
		due = append(due, best...)
		j.blameAll(best, d.parts)
	}
	slices.Sort(due)
	return due
}

// blameAll counts the parts and requests as in quarantine.
func (j *judgement) blameAll(due []uint64, parts map[uint64]*evidence) {
	for _, key := range due {
		j.known[key] = boragewick.QuarantinedPart{Part: key, Active: true, Whole: parts[key].whole}
		j.explain(key, parts[key].whole, parts[key])
	}
}

// explain counts a part or a whole request as in quarantine, and its crashes as
// explained.
func (j *judgement) explain(key uint64, whole bool, s *evidence) {
	if whole {
		j.activeRequests++
	} else {
		j.active++
	}
	if s == nil {
		return
	}
	for _, c := range s.crashes {
		if whole {
			j.requests[c] = request{s, key}
		} else {
			j.explained[c] = true
		}
	}
}

// group sets the outages.
func (j *judgement) group(crashes map[run]*crash) {
	var list []*crash
	for _, c := range crashes {
		if !j.explained[c] && j.now.Sub(c.at) >= settleTime {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, compareCrashes)
	j.outages, j.position = nil, map[*crash]int{}
	for i, c := range list {
		if i == 0 || c.at.Sub(list[i-1].at) > outageTime {
			j.outages = append(j.outages, nil)
		}
		last := len(j.outages) - 1
		j.outages[last] = append(j.outages[last], c)
		j.position[c] = last
	}
}

// best returns those of the parts that are due with most crashes in sequence.
func (j *judgement) best(parts map[uint64]*evidence) []uint64 {
	if j.active >= maxActive {
		return nil
	}
	var best []uint64
	most, unanswered := 0, false
	j.findStrong(parts)
	for part, s := range parts {
		if s.whole || j.known[part].Active || s.model == part {
			continue
		}
		n, answered := j.blame(part, s, parts, j.active)
		if n == 0 || n < most {
			continue
		}
		if n > most {
			most, unanswered = n, false
			best = nil
		}
		unanswered = unanswered || !answered
		best = append(best, part)
	}
	if len(best) > 1 && most <= maxTiedCrashes {
		return nil
	}
	limit := maxActive
	if unanswered {
		limit = maxUnanswered
	}
	slices.Sort(best)
	return best[:min(len(best), limit-j.active)]
}

// findStrong sets the strong parts.
func (j *judgement) findStrong(parts map[uint64]*evidence) {
	j.strong = map[uint64][]*crash{}
	for part, s := range parts {
		if s.whole || s.answered || s.model == part {
			continue
		}
		if crashes := j.unexplained(part, s); sequence(part, s, crashes) >= minEngineSequence {
			j.strong[part] = crashes
		}
	}
}

// blame returns the number of crashes in sequence that count for the part, or zero if they
// are too few, and whether a request for its model has been answered since. Until then
// the model's weights may be bad, so few parts are blamed.
func (j *judgement) blame(part uint64, s *evidence, parts map[uint64]*evidence, active int) (n int, answered bool) {
	crashes := j.unexplained(part, s)
	n = sequence(part, s, crashes)
	if n == 0 || n < j.needed(part, s, crashes) {
		return 0, false
	}
	model := parts[s.model]
	answered = model == nil || model.since.After(crashes[0].at)
	if !answered && (s.answered || active >= maxUnanswered) {
		return 0, false
	}
	return n, answered
}

// unexplained returns the crashes of the part that are in outages. Those of a whole
// request in quarantine don't count for another request that explains them less well.
func (j *judgement) unexplained(part uint64, s *evidence) []*crash {
	var list []*crash
	for _, c := range s.crashes {
		if _, ok := j.position[c]; !ok {
			continue
		}
		cause := j.requests[c]
		if s.whole && cause.evidence != nil && cause.evidence != s && explainsBetter(cause.key, cause.evidence, part, s) {
			continue
		}
		list = append(list, c)
	}
	return list
}

// needed returns the number of crashes in sequence after which a part with these
// crashes is due.
func (j *judgement) needed(part uint64, s *evidence, crashes []*crash) int {
	age := j.now.Sub(crashes[0].at)
	in := j.outagesOf(crashes)
	total, explained := j.compete(part, s.whole, crashes)
	switch {
	case j.known[part].Count > 0:
		return minRepeatCrashes
	case s.whole && explained:
		return maxPartCrashes + 1
	case s.whole && s.answered:
		return minAnsweredCrashes
	case s.whole:
		return minRequestCrashes
	case countRequests(part, crashes) < minRequests:
		return maxPartCrashes + 1
	case age < minSuspicion || s.answered && age < minAnsweredSuspicion:
		return maxPartCrashes + 1
	case s.answered || explained:
		return minAnsweredCrashes
	case len(in) == total && len(crashes) >= minEngineCrashes:
		return minEngineSequence
	case len(in) == total:
		return minCrashes
	case 2*len(in) >= total:
		return minPartialCrashes
	default:
		return minOtherCrashes
	}
}

// compete compares the part with the strong ones. It returns the number of outages since
// the part's first one without those that a strong part may have caused, and whether
// other strong parts explain all crashes of the part: one that was in use at others too,
// or several, each at half of them.
func (j *judgement) compete(part uint64, whole bool, crashes []*crash) (total int, explained bool) {
	in := j.outagesOf(crashes)
	covered, own := j.requestOutages(), map[*crash]bool{}
	for _, c := range crashes {
		own[c] = true
	}
	enough := len(crashes) + 1
	if whole {
		enough = explainingFactor * len(crashes)
	}
	left, same := maps.Clone(own), false
	for other, list := range j.strong {
		if other == part {
			continue
		}
		var common []*crash
		for _, c := range list {
			covered[j.position[c]] = true
			if own[c] {
				common = append(common, c)
			}
		}
		if 2*len(common) >= len(crashes) {
			for _, c := range common {
				delete(left, c)
			}
		}
		if len(common) == len(crashes) {
			explained = explained || len(list) >= enough
			same = true
		}
	}
	for i := j.position[crashes[0]]; i < len(j.outages); i++ {
		if in[i] || !covered[i] {
			total++
		}
	}
	return total, explained || len(left) == 0 && !same
}

// outagesOf returns the numbers of the outages with these crashes.
func (j *judgement) outagesOf(crashes []*crash) map[int]bool {
	in := map[int]bool{}
	for _, c := range crashes {
		in[j.position[c]] = true
	}
	return in
}
