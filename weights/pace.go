package weights

import "time"

const (
	// jobsPerLoad is the most engines out of service for each one that may load at the
	// same time.
	jobsPerLoad = 1.34
	// firstReportDelay is the time from an order to the next report asked of the engine
	// until loads have been measured, and maxFirstReportDelay the longest.
	firstReportDelay    = 700 * time.Millisecond
	maxFirstReportDelay = 2 * time.Second
	// loadTimeGain is the weight of a load that took longer than expected. One that took
	// less counts fully, as asking too early costs less than asking late.
	loadTimeGain = 0.125
	// connectTime is how long it may take until the agents of engines report to the leader.
	connectTime = 300 * time.Millisecond
	// shortestDrain is the shortest time from a directive to the order if the engine's
	// agent reports.
	shortestDrain = directivePropagation + agentLag
)

// recordLoadTime adjusts loadTime by a load that has ended.
func (u *Upgrader) recordLoadTime(j *job, now time.Time) {
	if !j.ordered || j.orderedAt.IsZero() {
		return
	}
	took := now.Sub(j.orderedAt)
	if u.loadTime > 0 && took > u.loadTime {
		took = u.loadTime + time.Duration(loadTimeGain*float64(took-u.loadTime))
	}
	u.loadTime = took
}

// firstReport returns how long after an order the engine is first asked for its report. If
// its agent reports, that serves only to detect an order that was lost.
func (u *Upgrader) firstReport(agentReports bool) time.Duration {
	delay := firstReportDelay
	if u.loadTime > 0 {
		delay = min(max(u.loadTime-reportInterval, reportInterval), maxFirstReportDelay)
	}
	if agentReports {
		delay += reportLag
	}
	return delay
}

// recordDrain adjusts drainTime by the job, whose engine's agent reports that it may be
// ordered now.
func (u *Upgrader) recordDrain(j *job, now time.Time) {
	if !j.drained {
		j.drained = true
		u.drainTime += time.Duration(loadTimeGain * float64(now.Sub(j.createdAt)-u.drainTime))
	}
}

// maxJobs returns how many engines may be out of service if some may load at the same time.
// Engines whose agents report are only taken out when a load will have ended by the time
// that their requests have.
func (u *Upgrader) maxJobs(now time.Time, loads int) int {
	most := max(1, int(float64(loads)*jobsPerLoad))
	if !u.expectsAgents(now) && !u.agentsReport() {
		return most
	}
	n := loads
	for _, j := range u.jobs {
		if u.endsSoon(j, now) {
			n++
		}
	}
	return min(n, most)
}

// agentsReport reports whether the agents of any engines report.
func (u *Upgrader) agentsReport() bool {
	u.agentsMu.Lock()
	defer u.agentsMu.Unlock()
	for _, r := range u.agents {
		if len(r.weights) > 0 {
			return true
		}
	}
	return false
}

// endsSoon reports whether the job's load may end by the time that another engine could be
// ordered, which is always so if the engine's agent doesn't report.
func (u *Upgrader) endsSoon(j *job, now time.Time) bool {
	if _, ok := u.agent(j.endpoint.Name); !ok {
		return !u.expectsAgents(now)
	}
	if !j.ordered || j.orderedAt.IsZero() {
		return j.ordered
	}
	return u.loadTime > 0 && !now.Before(j.orderedAt.Add(u.loadTime-max(u.drainTime, shortestDrain)))
}

// expectsAgents reports whether agents have been followed for so short a time that none may
// have reported yet.
func (u *Upgrader) expectsAgents(now time.Time) bool {
	return u.Agents != nil && now.Before(u.followedSince.Add(connectTime))
}
