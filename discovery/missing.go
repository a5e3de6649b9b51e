package discovery

import (
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// missingRetention is how long a deregistration of an unknown endpoint is kept. Routers that
	// are cut off may tell its run later.
	missingRetention = time.Minute
	// lateHeartbeat is how late a heartbeat may arrive that an endpoint sent before it
	// deregistered.
	lateHeartbeat = 5 * time.Second
	// maxMissing bounds the deregistrations that are kept, the newest ones.
	maxMissing = 1024
)

// Missing returns the unknown endpoints that have deregistered, with higher numbers than after, the
// oldest first. Changes' channel is closed at the next one.
func (d *Directory) Missing(after uint64) []boragewick.MissingEndpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireMissing()
	i, _ := slices.BinarySearchFunc(d.missing, after+1, func(m boragewick.MissingEndpoint, number uint64) int {
		return int(m.Number) - int(number)
	})
	return slices.Clone(d.missing[i:])
}

// ResolveMissing marks the run as gone if its endpoint has deregistered while it was unknown, and
// still is. It reports whether it did.
func (d *Directory) ResolveMissing(r boragewick.Registration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	if d.missingSince(r.Name).IsZero() || d.entries[r.Name] != nil {
		return false
	}
	r.Gone = true
	d.store(nil, r, true)
	return true
}

// addMissing records that an unknown endpoint has deregistered; the caller holds mu.
func (d *Directory) addMissing(name string) {
	if !boragewick.IsEndpointName(name) {
		return
	}
	d.forgetMissing(name)
	if len(d.missing) >= maxMissing {
		d.missing = slices.Delete(d.missing, 0, 1)
	}
	d.missingNumber++
	d.missing = append(d.missing, boragewick.MissingEndpoint{Endpoint: name, At: d.Clock.Now(), Number: d.missingNumber})
	close(d.changed)
	d.changed = make(chan struct{})
}

// missingSince returns when the unknown endpoint deregistered; zero if it did not, or long ago. The
// caller holds mu.
func (d *Directory) missingSince(name string) time.Time {
	d.expireMissing()
	i := slices.IndexFunc(d.missing, func(m boragewick.MissingEndpoint) bool { return m.Endpoint == name })
	if i < 0 {
		return time.Time{}
	}
	return d.missing[i].At
}

// isLate reports whether the heartbeat of an endpoint without an entry may be one that it sent
// before it deregistered. The caller holds mu.
func (d *Directory) isLate(r *boragewick.Registration) bool {
	at := d.missingSince(r.Name)
	return !r.Gone && !at.IsZero() && d.Clock.Now().Sub(at) < lateHeartbeat
}

// forgetMissing drops the deregistration of the endpoint, which is known now or has deregistered
// again; the caller holds mu.
func (d *Directory) forgetMissing(name string) {
	d.missing = slices.DeleteFunc(d.missing, func(m boragewick.MissingEndpoint) bool { return m.Endpoint == name })
}

// expireMissing drops old deregistrations; the caller holds mu.
func (d *Directory) expireMissing() {
	now := d.Clock.Now()
	d.missing = slices.DeleteFunc(d.missing, func(m boragewick.MissingEndpoint) bool { return now.Sub(m.At) > missingRetention })
}
