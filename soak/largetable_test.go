package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

const (
	// largeTableFault is the kind that makes configurations large and the links of routers slow.
	// It is planned: all promises hold beside it. A series has it only if it names it, so that
	// the seeds of all others keep their faults.
	largeTableFault = "large tables"
	// largeTableRoutes is how many routes a configuration has beside those that callers use.
	largeTableRoutes = 1400
	// slowLinkBytes is what the link of a router carries in a second from control processes.
	slowLinkBytes = 7.5e6 / 8
)

// growTables makes the configurations that follow large, and the links of the hosts without a
// control process slow, for the rest of the run.
func growTables(f *fleet, rng *rand.Rand) {
	f.extraRoutes.Store(largeTableRoutes)
	for _, host := range f.routerHosts()[f.size.controls:] {
		f.slowDownlink(host, slowLinkBytes)
	}
	time.Sleep(randomDuration(rng, 300*time.Millisecond, 2*time.Second))
}

// extraRouteList returns the routes beside those that callers use.
func (f *fleet) extraRouteList() (list []any) {
	for i := range f.extraRoutes.Load() {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("x%07x", i*7919), "host": fmt.Sprintf("h%06x.example", i*104729), "pathPrefix": fmt.Sprintf("/x%05x/", i*31),
			"kind": "safe", "service": plainPool, "timeoutMs": 1000, "targetLatencyMs": 400, "targetGapMs": 400, "priority": 1,
			"maxAttempts": 2, "resumable": false, "sessionAffinity": false,
		})
	}
	return list
}

// downlink is a host's link from control processes, which its connections share.
type downlink struct {
	bytesPerSecond float64
	freeAt         time.Time
}

// slowDownlink makes the host's link carry that many bytes in a second from control processes.
func (n *network) slowDownlink(host netip.Addr, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.downlinks[host] == nil {
		n.downlinks[host] = &downlink{}
	}
	n.downlinks[host].bytesPerSecond = bytesPerSecond
}

// carry waits until the host's link has carried k bytes.
func (n *network) carry(host netip.Addr, k int) {
	n.mu.Lock()
	l := n.downlinks[host]
	if l == nil {
		n.mu.Unlock()
		return
	}
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(k) / l.bytesPerSecond * float64(time.Second)))
	at := l.freeAt
	n.mu.Unlock()
	time.Sleep(time.Until(at))
}

// TestLargeTables guards against changes and departures that reach routers late, as large
// configurations take their links (CONFIG, DRAIN).
func TestLargeTables(t *testing.T) {
	runSeed(t, 7600, largeTableFault+",drain engine,hang up", 8*time.Second)
}
