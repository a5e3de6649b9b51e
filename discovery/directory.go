// Package discovery keeps the registrations that endpoints send in heartbeats.
package discovery

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without a
	// heartbeat after which an endpoint counts as silent.
	maxMissedHeartbeats = 3
	// entryRetention is how long the entry of a silent or gone endpoint is kept,
	// so that its late heartbeats are recognised as such.
	entryRetention = 30 * time.Second
	// maxBatch is the number of registrations in one batch, which has to fit into a message.
	maxBatch = 256
	// maxEntries is the number of endpoints that are kept.
	maxEntries = 1 << 14
)

// Directory holds the newest registration of each endpoint. Registrations may
// arrive late, twice and over several paths. Its fields are set before use; it
// is safe for concurrent use.
type Directory struct {
	// Clock must keep counting while the instance is suspended.
	Clock boragewick.Clock
	// Heartbeat is the interval at which endpoints register.
	Heartbeat time.Duration

	mu         sync.Mutex
	entries    map[string]*entry
	addrOwners map[netip.AddrPort]string
	revision   uint64
	changed    chan struct{}
	refreshed  uint64
	// missing are the endpoints that have deregistered while they were unknown, in the order of
	// their numbers.
	missing       []boragewick.MissingEndpoint
	missingNumber uint64
}

// entry is the state of one endpoint.
type entry struct {
	boragewick.Registration
	// storedAt is when the newest registration was stored, by Clock.
	storedAt time.Time
	// changedAt is the revision of the last change that watchers must receive.
	changedAt uint64
	// refreshedAt is the position of the newest heartbeat or change that this
	// replica must forward to the others.
	refreshedAt uint64
}

// Register applies a heartbeat that the endpoint sent to this replica. It reports
// whether the heartbeat was newer than all that was known of the endpoint.
func (d *Directory) Register(r boragewick.Registration) bool {
	return d.apply(r, true)
}

// Merge applies a heartbeat that another replica has forwarded.
func (d *Directory) Merge(r boragewick.Registration) bool {
	return d.apply(r, false)
}

// apply stores a heartbeat and reports whether it did. Of one that is not newer than the
// stored one, it keeps only that the endpoint is leaving or gone. It drops one for which
// isStale holds, and one without a proper name, as replicas of an earlier version pass on.
// A direct one, from the endpoint itself, is forwarded to the other
// replicas; any other only if it changes something.
func (d *Directory) apply(r boragewick.Registration, direct bool) bool {
	if !boragewick.IsEndpointName(r.Name) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	e := d.entries[r.Name]
	if e != nil && !r.Supersedes(&e.Registration) {
		if e.AdoptDeparture(&r) {
			d.markChanged(e)
		}
		return false
	}
	if e == nil && (d.isStale(&r) || d.isLate(&r) || len(d.entries) >= maxEntries) {
		return false
	}
	if e != nil {
		r.AdoptDeparture(&e.Registration)
	}
	d.store(e, r, direct)
	return true
}

// Deregister marks an endpoint as gone for the rest of its run. It returns the newest
// registration, and whether the endpoint is known. One that isn't is among the missing ones until
// its run is known.
func (d *Directory) Deregister(name string) (boragewick.Registration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	e := d.entries[name]
	if e == nil {
		d.addMissing(name)
		return boragewick.Registration{}, false
	}
	if !e.Gone {
		r := e.Registration
		r.Gone = true
		d.store(e, r, true)
	}
	return e.Registration, true
}

// Sweep marks endpoints that have missed too many heartbeats as silent and
// deletes the entries of endpoints that have been silent or gone for long.
func (d *Directory) Sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	now := d.Clock.Now()
	for name, e := range d.entries {
		elapsed := now.Sub(e.storedAt)
		if elapsed > entryRetention && (e.Gone || e.Silent) {
			delete(d.entries, name)
			if d.addrOwners[e.Addr] == name {
				delete(d.addrOwners, e.Addr)
			}
			continue
		}
		if silent := elapsed > maxMissedHeartbeats*d.Heartbeat; silent != e.Silent {
			e.Silent = silent
			d.markChanged(e)
		}
	}
}

// HasRoom reports whether the endpoint is known or can be added.
func (d *Directory) HasRoom(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[name] != nil || len(d.entries) < maxEntries
}

// Changes returns the registrations that changed after the revision, the oldest changes
// first, and a channel that is closed at the next change. Gone endpoints are among them.
func (d *Directory) Changes(after uint64) (boragewick.RegistrationUpdate, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	u := boragewick.RegistrationUpdate{Revision: d.revision, Refreshed: d.refreshed}
	batch := d.batch(&u, func(e *entry) uint64 { return e.changedAt }, after)
	if u.More {
		u.Revision = batch[len(batch)-1].changedAt
	}
	return u, d.changed
}

// Refreshes returns the registrations after the position that this replica must
// forward to the others, changed or not, the oldest first.
func (d *Directory) Refreshes(after uint64) boragewick.RegistrationUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	u := boragewick.RegistrationUpdate{Revision: d.revision, Refreshed: d.refreshed}
	batch := d.batch(&u, func(e *entry) uint64 { return e.refreshedAt }, after)
	if u.More {
		u.Refreshed = batch[len(batch)-1].refreshedAt
	}
	return u
}

// batch adds the first maxBatch registrations after the position to the update, in order.
// The caller holds mu.
func (d *Directory) batch(u *boragewick.RegistrationUpdate, position func(*entry) uint64, after uint64) []*entry {
	var list []*entry
	for _, e := range d.entries {
		if position(e) > after {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(position(a), position(b)) })
	if len(list) > maxBatch {
		list, u.More = list[:maxBatch], true
	}
	for _, e := range list {
		u.Registrations = append(u.Registrations, e.Registration)
	}
	return list
}

// Find returns the newest registration of the endpoint, and whether it is known.
func (d *Directory) Find(name string) (boragewick.Registration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[name]
	if e == nil {
		return boragewick.Registration{}, false
	}
	return e.Registration, true
}

// Endpoints returns the newest registration of each endpoint that is not gone.
func (d *Directory) Endpoints() []boragewick.Registration {
	return slices.DeleteFunc(d.Registrations(), func(r boragewick.Registration) bool { return r.Gone })
}

// Registrations returns the newest registration of each endpoint.
func (d *Directory) Registrations() []boragewick.Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]boragewick.Registration, 0, len(d.entries))
	for _, e := range d.entries {
		list = append(list, e.Registration)
	}
	return list
}

// init makes the maps and the channel; the caller holds mu.
func (d *Directory) init() {
	if d.entries == nil {
		d.entries = map[string]*entry{}
		d.addrOwners = map[netip.AddrPort]string{}
		d.changed = make(chan struct{})
	}
}

// isStale reports whether the address of an endpoint without an entry belongs to
// another endpoint that started later.
func (d *Directory) isStale(r *boragewick.Registration) bool {
	owner := d.entries[d.addrOwners[r.Addr]]
	return owner != nil && owner.Started > r.Started && owner.Name != r.Name
}

// store puts the registration into the entry, or into a new one if e is nil.
func (d *Directory) store(e *entry, r boragewick.Registration, direct bool) {
	r.Silent = false // each replica detects silence by itself
	isChange := e == nil || differs(&e.Registration, &r)
	if e == nil {
		e = &entry{}
		d.entries[r.Name] = e
		d.forgetMissing(r.Name)
	}
	e.Registration = r
	e.storedAt = d.Clock.Now()
	if direct {
		d.refreshed++
		e.refreshedAt = d.refreshed
	}
	if !r.Gone {
		d.assignAddr(&r)
	}
	if isChange {
		d.markChanged(e)
	}
}

// assignAddr makes the endpoint the owner of its address, unless the present owner
// started later. An earlier owner must have ended and is marked as gone.
func (d *Directory) assignAddr(r *boragewick.Registration) {
	previous := d.entries[d.addrOwners[r.Addr]]
	if previous != nil && previous.Name != r.Name && !previous.Gone {
		if previous.Started > r.Started {
			return
		}
		previous.Gone = true
		d.markChanged(previous)
	}
	d.addrOwners[r.Addr] = r.Name
}

// markChanged records a change that watchers and other replicas must receive.
func (d *Directory) markChanged(e *entry) {
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
		a.Silent != b.Silent || a.Build != b.Build
}
