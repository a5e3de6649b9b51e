package quarantine

import (
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

// dueRequests returns the whole requests that are due.
func (j *judgement) dueRequests(parts map[uint64]*evidence) []uint64 {
	var due []uint64
	j.findStrong(parts)
	for request, s := range parts {
		known := j.known[request]
		if !s.whole || known.Active || known.Count == 0 && len(s.crashes) < minRequestCrashes {
			continue
		}
		active := j.activeRequests + len(due)
		if n, _ := j.blame(request, s, parts, active); n > 0 && active < maxActiveRequests && j.outdoes(request, s, parts) {
			due = append(due, request)
		}
	}
	slices.Sort(due)
	return due
}

// requestOutages returns the numbers of the outages that whole requests in quarantine may
// have caused.
func (j *judgement) requestOutages() map[int]bool {
	covered := map[int]bool{}
	for c := range j.requests {
		if at, ok := j.position[c]; ok {
			covered[at] = true
		}
	}
	return covered
}

// IsCleared reports whether a whole request in quarantine was sound: another one that is
// there was in use at all of its crashes and at further ones.
func (d *Detector) IsCleared(request uint64, quarantined []boragewick.QuarantinedPart) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.parts[request]
	if s == nil || !s.whole || len(s.crashes) == 0 {
		return false
	}
	for _, q := range quarantined {
		other := d.parts[q.Part]
		if !q.Active || q.Part == request || other == nil || !other.whole || len(other.crashes) <= len(s.crashes) {
			continue
		}
		if includes(other.crashes, s.crashes) {
			return true
		}
	}
	return false
}

// outdoes reports whether no other whole request explains all crashes of this one better.
// One that was in use at the same crashes may still be answered within minSuspicion.
func (j *judgement) outdoes(request uint64, s *evidence, parts map[uint64]*evidence) bool {
	young := j.now.Sub(s.crashes[0].at) < minSuspicion
	for key := range s.crashes[0].sentAt {
		other := parts[key]
		if key == request || other == nil || !other.whole || len(other.crashes) < len(s.crashes) || !young && !explainsBetter(key, other, request, s) {
			continue
		}
		if includes(other.crashes, s.crashes) {
			return false
		}
	}
	return true
}

// includes reports whether the first list holds all crashes of the second.
func includes(list, other []*crash) bool {
	in := map[*crash]bool{}
	for _, c := range list {
		in[c] = true
	}
	return !slices.ContainsFunc(other, func(c *crash) bool { return !in[c] })
}

// explainsBetter reports whether a whole request explains crashes better than another one
// that was in use there too: it crashed more endpoints or, if as many, sooner after it was
// sent, as a request that crashes endpoints does so when it begins to run.
func explainsBetter(request uint64, s *evidence, another uint64, other *evidence) bool {
	if len(s.crashes) != len(other.crashes) {
		return len(s.crashes) > len(other.crashes)
	}
	return s.timeToCrash(request) < other.timeToCrash(another)
}

// timeToCrash returns the time from when the request was sent to the crash, for all of its
// crashes together.
func (s *evidence) timeToCrash(request uint64) time.Duration {
	var sum time.Duration
	for _, c := range s.crashes {
		sum += c.at.Sub(c.sentAt[request])
	}
	return sum
}

// countRequests returns the number of different requests with the part that were in
// progress at the crashes. Those that are not known count as different.
func countRequests(part uint64, crashes []*crash) int {
	n, seen := 0, map[uint64]bool{}
	for _, c := range crashes {
		request := c.requests[part]
		if request == 0 || !seen[request] {
			n++
		}
		seen[request] = true
	}
	return n
}
