// Package quarantine detects prompt parts and whole requests that crash the endpoints
// that run them, from the crashes that routers report.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// retention is how long a crash counts.
	retention = 60 * time.Second
	// maxCrashes, maxUses, maxCrashParts and maxPartCrashes bound the crashes that are
	// kept, the parts of all of them, the parts of one and the crashes of one part.
	maxCrashes     = 1024
	maxUses        = 1 << 16
	maxCrashParts  = 4096
	maxPartCrashes = 32
	// evictInterval is the time between two searches for crashes that no longer count.
	evictInterval = 100 * time.Millisecond
	// sequenceGap is the least time from a crash to a request that counts as sent after
	// it. Routers notice the engines of one outage at slightly different times.
	sequenceGap = 100 * time.Millisecond
	// minSuspectCrashes is the number of crashes from which a whole request is a suspect.
	minSuspectCrashes = 2
	// maxSuspects bounds the list of suspects. Those with most crashes come first.
	maxSuspects = 2048
)

// Detector collects reports of crashes. The zero value is empty; it is safe for
// concurrent use.
type Detector struct {
	// Clock is the system clock if nil. It is set before use.
	Clock boragewick.Clock

	mu      sync.Mutex
	crashes map[run]*crash
	// parts holds the parts that have not been answered since their first crash.
	parts map[uint64]*evidence
	// answeredAt is when suspects were last answered.
	answeredAt map[uint64]time.Time
	// evictAt is when crashes that no longer count are searched for again, and evictions
	// how often they were.
	evictAt   time.Time
	evictions int
	// uses is the number of parts of all crashes.
	uses int
	// suspects is valid unless stale is set.
	suspects []uint64
	stale    bool
	changed  chan struct{}
}

// evidence is what is known of a part that was in use at crashes.
type evidence struct {
	crashes []*crash
	// since is when the first crash since the last answer was.
	since time.Time
	// model is the key of the part's model; that of a model itself is its own.
	model uint64
	// answered reports whether a router had got an answer shortly before a crash.
	answered bool
	// whole reports whether this is a whole request and not a prompt part.
	whole bool
}

// isSuspect reports whether routers must tell of answers to the part. Few requests come
// again, so whole requests count from their second crash.
func (s *evidence) isSuspect() bool { return !s.whole || len(s.crashes) >= minSuspectCrashes }

// run identifies a run of an endpoint. It ends with one crash at most, however many
// routers report it.
type run struct {
	endpoint    string
	incarnation boragewick.Incarnation
}

// crash is the end of a run.
type crash struct {
	run
	at time.Time
	// sentAt is when the last request with each part was sent; zero for a part that
	// has been answered since, so that later reports of the crash do not count.
	sentAt map[uint64]time.Time
	// requests holds the whole request with which each part was sent last.
	requests map[uint64]uint64
}

// Report merges a router's report.
func (d *Detector) Report(r *boragewick.CrashReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	toLocal := func(t time.Time) time.Time { return now.Add(-max(r.Now.Sub(t), 0)) }
	for i := range r.Crashes {
		d.merge(&r.Crashes[i], toLocal)
	}
	for _, part := range r.Answered {
		d.clear(part, now)
	}
	d.evict(now)
}

// Suspects returns the parts that were in use at a crash and not in any complete
// answer since, and a channel that is closed when they may have changed. The list is
// in order and must not be changed.
func (d *Detector) Suspects() ([]uint64, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evict(d.now())
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	if d.stale {
		d.suspects = d.listSuspects()
		d.stale = false
	}
	return d.suspects, d.changed
}

// Evidence returns the number of crashes in sequence that count for the part, and the
// endpoints that crashed.
func (d *Detector) Evidence(part uint64) (crashes int, endpoints []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.parts[part]
	if s == nil {
		return 0, nil
	}
	for _, c := range s.crashes {
		endpoints = append(endpoints, c.endpoint)
	}
	slices.Sort(endpoints)
	return sequence(part, s, s.crashes), slices.Compact(endpoints)
}

// IsWhole reports whether the key is that of a whole request.
func (d *Detector) IsWhole(key uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.parts[key]
	return s != nil && s.whole
}

// AnsweredSince reports whether the part, as a suspect, was answered after the instant.
func (d *Detector) AnsweredSince(part uint64, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answeredAt[part].After(since)
}

func (d *Detector) now() time.Time {
	if d.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return d.Clock.Now()
}

// merge adds a reported crash, or the parts of one that another router has reported.
func (d *Detector) merge(reported *boragewick.EndpointCrash, toLocal func(time.Time) time.Time) {
	id := run{reported.Endpoint, reported.Incarnation}
	at := toLocal(reported.At)
	c := d.crashes[id]
	if c == nil {
		c = &crash{run: id, at: at, sentAt: map[uint64]time.Time{}, requests: map[uint64]uint64{}}
		if d.crashes == nil {
			d.crashes = map[run]*crash{}
			d.parts = map[uint64]*evidence{}
		}
		d.crashes[id] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, p := range reported.Parts {
		sentAt := toLocal(p.SentAt)
		last, known := c.sentAt[p.Key]
		switch {
		case known && last.IsZero():
		case known && last.Before(sentAt):
			c.sentAt[p.Key], c.requests[p.Key] = sentAt, p.Request
		case !known && len(c.sentAt) < maxCrashParts:
			c.sentAt[p.Key], c.requests[p.Key] = sentAt, p.Request
			d.uses++
			d.add(p.Key, p.Whole, c)
		}
		if s := d.parts[p.Key]; s != nil {
			s.answered = s.answered || p.Answered
			s.model = p.Model
			if c.at.Before(s.since) {
				s.since = c.at
			}
		}
	}
}

// add counts the crash for the part.
func (d *Detector) add(part uint64, whole bool, c *crash) {
	s := d.parts[part]
	if s == nil {
		s = &evidence{since: c.at, whole: whole}
		d.parts[part] = s
	}
	known := len(s.crashes) > 0 && s.isSuspect()
	s.crashes = append(s.crashes, c)
	if !known && s.isSuspect() {
		d.notifyWaiters()
	}
	if len(s.crashes) > maxPartCrashes {
		slices.SortFunc(s.crashes, compareCrashes)
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
}

// clear drops the evidence against a part that has been answered.
func (d *Detector) clear(part uint64, now time.Time) {
	s := d.parts[part]
	if s == nil {
		return
	}
	if d.answeredAt == nil {
		d.answeredAt = map[uint64]time.Time{}
	}
	if len(d.answeredAt) < maxUses {
		d.answeredAt[part] = now
	}
	for _, c := range s.crashes {
		c.sentAt[part] = time.Time{}
	}
	delete(d.parts, part)
	d.notifyWaiters()
}

// evict removes crashes that no longer count, and the oldest ones beyond the bounds.
func (d *Detector) evict(now time.Time) {
	if !now.Before(d.evictAt) {
		d.evictExpired(now)
	}
	if len(d.crashes) <= maxCrashes && d.uses <= maxUses {
		return
	}
	for _, c := range slices.SortedFunc(maps.Values(d.crashes), compareCrashes) {
		if len(d.crashes) <= maxCrashes && d.uses <= maxUses {
			return
		}
		d.remove(c)
	}
}

// evictExpired removes what no longer counts.
func (d *Detector) evictExpired(now time.Time) {
	d.evictAt = now.Add(evictInterval)
	d.evictions++
	for _, c := range d.crashes {
		if now.Sub(c.at) > retention {
			d.remove(c)
		}
	}
	for part, at := range d.answeredAt {
		if now.Sub(at) > retention {
			delete(d.answeredAt, part)
		}
	}
}

// remove drops a crash and the evidence that it gave.
func (d *Detector) remove(c *crash) {
	delete(d.crashes, c.run)
	d.uses -= len(c.sentAt)
	for part := range c.sentAt {
		s := d.parts[part]
		if s == nil {
			continue
		}
		known := s.isSuspect()
		s.crashes = slices.DeleteFunc(s.crashes, func(other *crash) bool { return other == c })
		if len(s.crashes) == 0 {
			delete(d.parts, part)
		}
		if known && (len(s.crashes) == 0 || !s.isSuspect()) {
			d.notifyWaiters()
		}
	}
}

// listSuspects returns the suspects in order, those with most crashes if there are
// too many.
func (d *Detector) listSuspects() []uint64 {
	if len(d.parts) == 0 {
		return nil
	}
	var list []uint64
	for part, s := range d.parts {
		if s.isSuspect() {
			list = append(list, part)
		}
	}
	if len(list) > maxSuspects {
		counts := map[uint64]int{}
		for part, s := range d.parts {
			counts[part] = sequence(part, s, s.crashes)
		}
		slices.SortFunc(list, func(a, b uint64) int {
			return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
		})
		list = list[:maxSuspects]
	}
	slices.Sort(list)
	return list
}

// notifyWaiters closes the channel that Suspects returned; the caller holds mu.
func (d *Detector) notifyWaiters() {
	d.stale = true
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// sequence returns the largest number of crashes of which each one's request was sent
// sequenceGap after the crash before it. Engines that crash at the same time count once. A
// whole request may be sent again at once.
func sequence(part uint64, s *evidence, crashes []*crash) int {
	slices.SortFunc(crashes, compareCrashes)
	gap := sequenceGap
	if s.whole {
		gap = 0
	}
	var n int
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.sentAt[part].After(last.Add(gap)) {
			n++
			last = c.at
		}
	}
	return n
}

func compareCrashes(a, b *crash) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.incarnation, b.incarnation))
}
