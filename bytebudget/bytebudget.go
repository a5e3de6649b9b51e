// Package bytebudget bounds the bytes that a process holds for callers and endpoints.
package bytebudget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// heldFraction is the fraction of the process's memory up to which requests are
	// admitted, by the bytes that are held. The rest is for the routing table, the
	// connections and garbage that has not been collected yet.
	heldFraction = 0.16
	// promiseFactor bounds the bytes held together with those that admitted requests may
	// still bring, as a multiple of the bound on held bytes. It is above 1 as a body that
	// arrives slowly would otherwise take room for bytes that are not there.
	promiseFactor = 2
	// smallFactor is the same for requests of at most smallBytes, for which held bytes alone
	// have no bound. A few large bodies would otherwise keep out all other requests. With
	// heldFraction, it keeps admitted bodies below 0.4 of the process's memory; the soft limit
	// of the Go runtime is 0.7.
	smallFactor = 2.5
	smallBytes  = 64 << 10
	// ownerFraction is the fraction of either bound that one owner may take.
	ownerFraction = 0.5
	// releaseWindow is the time constant of the average rate at which bytes are released.
	releaseWindow = 2 * time.Second
	// minWait and maxWait bound the time after which a refused request may come back. No
	// byte may be released for as long as the slowest request runs.
	minWait = 300 * time.Millisecond
	maxWait = 5 * time.Second
	// waitSpread is the fraction by which the wait is prolonged at random, so that requests
	// which were refused together do not return at once.
	waitSpread = 0.5
)

// Budget counts bytes by owner. Only Admit refuses: what an admitted request brings is
// counted even beyond the bounds. The zero value has no bound. It is safe for concurrent
// use.
type Budget struct {
	// Clock defaults to boragewick.SystemClock.
	Clock boragewick.Clock

	mu     sync.Mutex
	limit  int64
	total  usage
	owners map[string]usage
	// released is the number of bytes released, which decays with releaseWindow, as of
	// releasedAt.
	released   float64
	releasedAt time.Time
}

// usage is a number of bytes that are held, and of bytes that admitted requests may still
// bring.
type usage struct {
	held, promised int64
}

// SetMemory derives the bounds from the process's memory; zero means no bound.
func (b *Budget) SetMemory(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = int64(float64(bytes) * heldFraction)
}

// Admit implements boragewick.MemoryBudget.
func (b *Budget) Admit(owner string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 {
		if missing := b.total.missing(n, b.limit); missing > 0 {
			return b.refuse(missing, errors.Wrapf(boragewick.ErrOverloaded, "no memory for %d bytes: %d held, %d promised, limit %d", n, b.total.held, b.total.promised, b.limit))
		}
		share := int64(float64(b.limit) * ownerFraction)
		u := b.owners[owner]
		if missing := u.missing(n, share); missing > 0 {
			return b.refuse(missing, errors.Wrapf(boragewick.ErrOverloaded, "no memory for %d bytes of %q: %d held, %d promised, share %d", n, owner, u.held, u.promised, share))
		}
	}
	b.add(owner, usage{promised: n})
	return nil
}

// Withdraw implements boragewick.MemoryBudget.
func (b *Budget) Withdraw(owner string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(owner, usage{promised: -n})
}

// Hold implements boragewick.MemoryBudget.
func (b *Budget) Hold(owner string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n < 0 {
		now := b.now()
		b.released = b.recentlyReleased(now) - float64(n)
		b.releasedAt = now
	}
	b.add(owner, usage{held: n})
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total.held
}

// Promised returns the number of bytes that admitted requests may still bring.
func (b *Budget) Promised() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total.promised
}

// add changes the counts of all and of the owner, who is forgotten once both are zero.
func (b *Budget) add(owner string, d usage) {
	b.total = b.total.plus(d)
	u := b.owners[owner].plus(d)
	if u == (usage{}) {
		delete(b.owners, owner)
		return
	}
	if b.owners == nil {
		b.owners = map[string]usage{}
	}
	b.owners[owner] = u
}

func (u usage) plus(d usage) usage {
	return usage{held: u.held + d.held, promised: u.promised + d.promised}
}

// missing returns how many bytes must be released before a request that may bring n bytes
// stays within the bounds; zero or less if it does now.
func (u usage) missing(n, limit int64) int64 {
	if n <= smallBytes {
		return u.held + u.promised + n - int64(smallFactor*float64(limit))
	}
	return max(u.held+n-limit, u.held+u.promised+n-promiseFactor*limit)
}

// refuse adds to err the time by which the missing bytes will have been released at the
// recent rate.
func (b *Budget) refuse(missing int64, err error) error {
	now := b.now()
	wait := maxWait
	if perSecond := b.recentlyReleased(now) / releaseWindow.Seconds(); perSecond > 0 {
		seconds := min(float64(missing)/perSecond, maxWait.Seconds())
		wait = max(minWait, time.Duration(seconds*float64(time.Second)))
	}
	wait += time.Duration(rand.Float64() * waitSpread * float64(wait))
	return &boragewick.RetryError{At: now.Add(wait), Err: err}
}

// recentlyReleased returns the decayed number of released bytes.
func (b *Budget) recentlyReleased(now time.Time) float64 {
	return b.released * math.Exp(-now.Sub(b.releasedAt).Seconds()/releaseWindow.Seconds())
}

func (b *Budget) now() time.Time {
	if b.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return b.Clock.Now()
}
