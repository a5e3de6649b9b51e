package soak

import (
	"fmt"
	"time"
)

// Keys of disturbances beside the names of the processes.
const (
	coreDisturbance = "core"
	linkDisturbance = "links"
)

// span tells whether something goes on, and when it last ended.
type span struct {
	active int
	ended  time.Time
}

func (s *span) quietSince(t time.Time) bool { return s == nil || s.active == 0 && s.ended.Before(t) }

// disturb counts a disturbance of processes or links as active until the returned
// function is called.
func (rec *recorder) disturb(keys ...string) (end func()) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, key := range keys {
		if rec.disturbances[key] == nil {
			rec.disturbances[key] = &span{}
		}
		rec.disturbances[key].active++
	}
	return func() {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		for _, key := range keys {
			rec.disturbances[key].active--
			rec.disturbances[key].ended = time.Now()
		}
	}
}

// disturbLinks counts the links of the host as disturbed until the returned
// function is called.
func (f *fleet) disturbLinks(host int) (end func()) {
	keys := []string{linkDisturbance}
	if host < f.size.controls+f.size.routers {
		keys = append(keys, fmt.Sprint("router-", host))
	}
	if host < f.size.controls {
		keys = append(keys, coreDisturbance)
	}
	return f.disturb(keys...)
}

// inTouchLocked reports whether neither the router nor the control processes were
// disturbed within the last contactTimeout.
func (rec *recorder) inTouchLocked(router int) bool { return rec.inTouchForLocked(router, 0) }

// inTouchForLocked reports whether the router has been in touch for the duration.
func (rec *recorder) inTouchForLocked(router int, d time.Duration) bool {
	from := time.Now().Add(-contactTimeout - d)
	return rec.disturbances[coreDisturbance].quietSince(from) && rec.disturbances[fmt.Sprint("router-", router)].quietSince(from)
}

// calmStartLocked returns when the control processes became stable and all links
// undisturbed, or false if they aren't.
func (rec *recorder) calmStartLocked() (time.Time, bool) {
	var start time.Time
	for key, settles := range map[string]time.Duration{coreDisturbance: contactTimeout, linkDisturbance: 0} {
		s := rec.disturbances[key]
		if s == nil {
			continue
		}
		if s.active > 0 {
			return time.Time{}, false
		}
		if at := s.ended.Add(settles); at.After(start) {
			start = at
		}
	}
	return start, true
}
