package crashreport

import "time"

// recentAnswers remembers for answerRetention what was answered, as far as there is room.
// The zero value is empty.
type recentAnswers struct {
	// newest holds when each key was last answered. Those in older were not answered since
	// newest was last emptied, at since.
	newest, older map[uint64]time.Time
	since         time.Time
}

// add records that the keys are answered now.
func (a *recentAnswers) add(now time.Time, keys ...uint64) {
	if len(a.newest) >= maxRecent/2 || now.Sub(a.since) > answerRetention {
		a.older, a.newest, a.since = a.newest, nil, now
	}
	if a.newest == nil {
		a.newest = map[uint64]time.Time{}
	}
	for _, key := range keys {
		a.newest[key] = now
	}
}

// before reports whether the key was answered within answerRetention before the instant.
func (a *recentAnswers) before(key uint64, at time.Time) bool {
	last, ok := a.newest[key]
	if !ok {
		last, ok = a.older[key]
	}
	return ok && at.Sub(last) < answerRetention
}

func (a *recentAnswers) len() int { return len(a.newest) + len(a.older) }
