// Package discovery keeps what endpoints say of themselves in heartbeats.
package discovery

import (
	"net/netip"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// silentBeats is the number of heartbeats that may be missed before an
	// endpoint counts as silent.
	silentBeats = 3
	// forgetAfter is how long a silent or gone endpoint is remembered, so that
	// late heartbeats of it are recognised.
	forgetAfter = 30 * time.Second
)

// Directory holds the newest registration of each endpoint. Registrations may
// arrive late, twice and by several ways. Its fields are set before use; it is
// safe for concurrent use.
type Directory struct {
	// Clock counts while the instance is suspended.
	Clock boragewick.Clock
	// Heartbeat is the interval at which endpoints register.
	Heartbeat time.Duration

	mu        sync.Mutex
	entries   map[string]*entry
	holders   map[netip.AddrPort]string
	revision  uint64
	changed   chan struct{}
	refreshed uint64
}

// entry is what is known of one endpoint.
type entry struct {
	boragewick.Registration
	// heard is when the newest registration was sent or arrived.
	heard time.Time
	// changedAt is the revision of the last change that others must hear of.
	changedAt uint64
	// refreshedAt is the position of the newest heartbeat or change that other
	// replicas must hear of from here.
	refreshedAt uint64
}

// Register takes in a heartbeat that the endpoint sent here. It reports whether
// it was newer than all that was known of the endpoint.
func (d *Directory) Register(r boragewick.Registration) bool {
	return d.take(r, true)
}

// Merge takes in a heartbeat that another replica has passed on.
func (d *Directory) Merge(r boragewick.Registration) bool {
	return d.take(r, false)
}

// take takes in a heartbeat. One that came from the endpoint itself is passed
// on to the other replicas; others are only if they change something.
func (d *Directory) take(r boragewick.Registration, direct bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	e := d.entries[r.Name]
	if e != nil && !r.Supersedes(&e.Registration) {
		return false
	}
	if e == nil && d.isStale(&r) {
		return false
	}
	if e != nil && e.Started == r.Started && e.Gone {
		r.Gone = true
	}
	if e != nil && e.Started == r.Started && e.Leaving {
		r.Leaving = true
	}
	d.store(e, r, direct)
	return true
}

// Deregister takes in that an endpoint leaves for good.
func (d *Directory) Deregister(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	e := d.entries[name]
	if e == nil || e.Gone {
		return
	}
	r := e.Registration
	r.Gone = true
	r.Number++
	d.store(e, r, true)
}

// Sweep marks endpoints as silent that have missed heartbeats and forgets
// those that have long been away.
func (d *Directory) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	now := d.Clock.Now()
	for name, e := range d.entries {
		away := now.Sub(e.heard)
		if away > forgetAfter && (e.Gone || e.Silent) {
			delete(d.entries, name)
			if d.holders[e.Addr] == name {
				delete(d.holders, e.Addr)
			}
			continue
		}
		if silent := away > silentBeats*d.Heartbeat; silent != e.Silent {
			e.Silent = silent
			d.touch(e)
		}
	}
}

// Changes returns the registrations that changed after the revision, and a
// channel that is closed at the next change. Gone endpoints are among them.
func (d *Directory) Changes(after uint64) (boragewick.RegistrationUpdate, <-chan struct{}) {
	return d.collect(func(e *entry) bool { return e.changedAt > after })
}

// Refreshes returns the registrations that were taken in after the position,
// changed or not.
func (d *Directory) Refreshes(after uint64) boragewick.RegistrationUpdate {
	u, _ := d.collect(func(e *entry) bool { return e.refreshedAt > after })
	return u
}

// Endpoints returns the newest registration of each endpoint that is not gone.
func (d *Directory) Endpoints() []boragewick.Registration {
	u, _ := d.collect(func(e *entry) bool { return !e.Gone })
	return u.Registrations
}

func (d *Directory) collect(wanted func(*entry) bool) (boragewick.RegistrationUpdate, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	u := boragewick.RegistrationUpdate{Revision: d.revision, Refreshed: d.refreshed}
	for _, e := range d.entries {
		if wanted(e) {
			u.Registrations = append(u.Registrations, e.Registration)
		}
	}
	return u, d.changed
}

// init makes the maps; the caller holds mu.
func (d *Directory) init() {
	if d.entries == nil {
		d.entries = map[string]*entry{}
		d.holders = map[netip.AddrPort]string{}
		d.changed = make(chan struct{})
	}
}

// isStale reports whether a newer run of an endpoint holds the address of an
// endpoint that is not known.
func (d *Directory) isStale(r *boragewick.Registration) bool {
	holder := d.entries[d.holders[r.Addr]]
	return holder != nil && holder.Started > r.Started && holder.Name != r.Name
}

// store puts the registration in place of the entry.
func (d *Directory) store(e *entry, r boragewick.Registration, direct bool) {
	r.Silent = false // each replica judges by itself
	news := e == nil || differs(&e.Registration, &r)
	if e == nil {
		e = &entry{}
		d.entries[r.Name] = e
	}
	e.Registration = r
	e.heard = d.Clock.Now()
	if direct {
		d.refreshed++
		e.refreshedAt = d.refreshed
	}
	d.takeAddress(&r)
	if news {
		d.touch(e)
	}
}

// takeAddress makes the endpoint the holder of its address. Another endpoint
// that held it has ended.
func (d *Directory) takeAddress(r *boragewick.Registration) {
	before := d.entries[d.holders[r.Addr]]
	if before != nil && before.Name != r.Name && !before.Gone {
		if before.Started > r.Started {
			return
		}
		before.Gone = true
		before.Number++
		d.touch(before)
	}
	d.holders[r.Addr] = r.Name
}

// touch notes a change that others must hear of.
func (d *Directory) touch(e *entry) {
	d.revision++
	e.changedAt = d.revision
	d.refreshed++
	e.refreshedAt = d.refreshed
	close(d.changed)
	d.changed = make(chan struct{})
}

// differs reports whether anything but the heartbeat's number has changed.
func differs(a, b *boragewick.Registration) bool {
	if len(a.Weights) != len(b.Weights) {
		return true
	}
	for model, v := range a.Weights {
		if b.Weights[model] != v {
			return true
		}
	}
	return a.Pool != b.Pool || a.Addr != b.Addr || a.Domain != b.Domain || a.Slots != b.Slots ||
		a.Leaving != b.Leaving || a.Gone != b.Gone || a.Started != b.Started ||
		a.Silent != b.Silent
}
