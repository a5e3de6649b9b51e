package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// operator publishes configurations, names new weights, and reads the
// configuration back.
type operator struct {
	*fleet
	rng     *rand.Rand
	version int
}

// tcpAddr returns the address with any port.
func tcpAddr(addr netip.Addr) net.Addr { return net.TCPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)) }

// roundTrip sends a request on a new connection and returns the status and body of
// the answer. Without an answer the status is zero.
func roundTrip(d *net.Dialer, method string, addr netip.AddrPort, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	t := &http.Transport{DisableKeepAlives: true, DialContext: d.DialContext}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// configDocument returns the configuration of the version. The author tells apart
// documents that are published under the same version.
func (f *fleet) configDocument(version, author int) string {
	routeList := []any{}
	for _, r := range append(append([]*route{}, routes...), &route{prefix: addedRoutePrefix(version), kind: "safe", pool: plainPool, timeout: time.Second, attempts: 2}) {
		routeList = append(routeList, map[string]any{
			"name": "r" + strings.Trim(r.prefix, "/"), "host": routeHost, "pathPrefix": r.prefix, "kind": r.kind, "service": r.pool,
			"timeoutMs": r.timeout.Milliseconds(), "targetLatencyMs": 400 + author, "targetGapMs": 400, "priority": 1,
			"maxAttempts": r.attempts, "resumable": r.resumable, "sessionAffinity": r.pool == modelPool,
		})
	}
	routeList = append(routeList, f.extraRouteList()...)
	var tenantList []any
	for _, t := range tenants {
		tenantList = append(tenantList, map[string]any{
			"name": t.name, "apiKeys": []string{"key-" + t.name}, "unit": "token_metering", "plainTokens": plainTokens,
			"dedicated": t.name == isolatedTenant, "ratePerS": t.rate, "burst": t.rate,
		})
	}
	services := []any{
		map[string]any{"name": modelPool, "healthPath": "/health", "maxConnections": 300, "protocol": "h1", "engine": map[string]any{
			"slots": slots, "kvCapacityTokens": kvCapacity, "kvTokenBytes": 18432, "linkMbps": 1000, "moves": true, "backups": true,
			"stride": 5, "maxInflight": 12, "handle_s": 5, "models": []any{map[string]any{"name": modelName}},
		}},
		map[string]any{"name": plainPool, "healthPath": "/health", "maxConnections": 200, "protocol": "h1"},
	}
	for _, e := range f.engines {
		if e.pool == storePool {
			services = append(services, map[string]any{
				"name": fmt.Sprint(storePool, e.number), "kvStoreAddr": e.advertised.String(), "zone": "z0",
				"kvCapacityTokens": maxCachedParts * partTokens, "linkMbps": 1000, "maxInflight": 12,
			})
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routeList, "tenants": tenantList, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err.Error()
	}
	return string(b)
}

func addedRoutePrefix(version int) string { return fmt.Sprintf("/v%d/", version) }

// publish sends the document to random control processes until it is acknowledged,
// refused or the timeout is over.
func (o *operator) publish(version, author int, timeout time.Duration) bool {
	doc := o.configDocument(version, author)
	o.recorder.mu.Lock()
	o.sentDocs[version] = append(o.sentDocs[version], doc)
	o.recorder.mu.Unlock()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		status, body := o.call(http.MethodPut, "/config", doc)
		switch {
		case status == http.StatusOK:
			o.recorder.mu.Lock()
			if version > o.ackedConfig {
				o.ackedConfig = version
			}
			if o.ackedAt[version].IsZero() {
				o.ackedAt[version] = time.Now()
			}
			o.recorder.mu.Unlock()
			return true
		case status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
			if author == 0 {
				o.addViolation("CONFIG", "valid configuration %d was refused with %d %s", version, status, body)
			}
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// nameWeights names new weights, and retries until that is acknowledged or the
// timeout is over.
func (o *operator) nameWeights(version int, timeout time.Duration) bool {
	o.recorder.mu.Lock()
	o.namedWeights = max(o.namedWeights, version)
	o.recorder.mu.Unlock()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, _ := o.call(http.MethodPost, "/version-put", fmt.Sprintf(`{"model":%q,"version":%d}`, modelName, version)); status == http.StatusOK {
			o.recorder.mu.Lock()
			o.ackedWeights = max(o.ackedWeights, version)
			o.weightsAckedAt[version] = time.Now()
			o.recorder.mu.Unlock()
			return true
		}
	}
	return false
}

// nameNextWeights names the version after the newest one.
func (o *operator) nameNextWeights(timeout time.Duration) bool {
	o.recorder.mu.Lock()
	o.namedWeights++
	next := o.namedWeights
	o.recorder.mu.Unlock()
	return o.nameWeights(next, timeout)
}

// readConfig reads the configuration back from a control process and checks it.
func (o *operator) readConfig(addr netip.AddrPort) bool {
	o.recorder.mu.Lock()
	minVersion := 0
	for version, at := range o.ackedAt {
		if time.Since(at) > applyTimeout {
			minVersion = max(minVersion, version)
		}
	}
	o.recorder.mu.Unlock()
	status, body := roundTrip(&net.Dialer{}, http.MethodGet, addr, "/config", "")
	if status != http.StatusOK {
		return false
	}
	var got struct{ Version int }
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		o.addViolation("CONFIG", "%s returned the malformed configuration %q", addr, body)
		return false
	}
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	if got.Version < minVersion {
		o.addViolationLocked("CONFIG", "%s returned version %d, but %d was acknowledged", addr, got.Version, minVersion)
	}
	for i, doc := range o.sentDocs[got.Version] {
		if !equalJSON(doc, body) {
			continue
		}
		if other, ok := o.readDocs[got.Version]; ok && other != i {
			o.addViolationLocked("CONFIG", "%s returned another version %d than was read before", addr, got.Version)
		}
		o.readDocs[got.Version] = i
		return true
	}
	o.addViolationLocked("CONFIG", "%s returned as version %d a configuration that was never sent under it", addr, got.Version)
	return false
}

func equalJSON(a, b string) bool {
	if a == b {
		return true
	}
	var x, y any
	if json.Unmarshal([]byte(a), &x) != nil || json.Unmarshal([]byte(b), &y) != nil {
		return false
	}
	p, err := json.Marshal(x)
	q, err2 := json.Marshal(y)
	return err == nil && err2 == nil && string(p) == string(q)
}

// call sends a request to a random control process.
func (o *operator) call(method, path, body string) (int, string) {
	list := o.operatorAddrs()
	return roundTrip(&net.Dialer{}, method, list[o.rng.IntN(len(list))], path, body)
}

// run publishes configurations and names weights until ctx is done.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+o.rng.IntN(400)) * time.Millisecond)
		switch o.rng.IntN(6) {
		case 0, 1:
			o.version += 1 + o.rng.IntN(3)
			o.publish(o.version, 0, 2*time.Second)
		case 2:
			o.publishConflicting()
		case 3:
			if o.rng.IntN(2) == 0 {
				o.nameNextWeights(2 * time.Second)
			}
		}
	}
}

// watchConfig reads the configuration from every control process until ctx is done.
func (o *operator) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		for _, addr := range o.operatorAddrs() {
			o.readConfig(addr)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// probeDroppedRoutes sends requests on the route that a router has served last, once an
// acknowledged configuration has dropped it, until ctx is done. A router in touch that still
// serves it has an older configuration.
func (o *operator) probeDroppedRoutes(ctx context.Context, rng *rand.Rand) {
	served := map[int]int{} // version by router
	routers := o.size.controls + o.size.routers
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(20 * time.Millisecond)
		router := i % routers
		settled, probed := o.ackedVersions()
		if last := served[router]; last > 0 && last < settled && i/routers%2 == 0 {
			probed = last
		}
		sent := time.Now()
		if !o.servesRoute(rng, router, addedRoutePrefix(probed)) {
			continue
		}
		served[router] = probed
		o.recorder.mu.Lock()
		if probed < settled && o.inTouchForLocked(router, applyTimeout) {
			o.addViolationLocked("CONFIG", "router %d serves the route of version %d %s after version %d was acknowledged",
				router, probed, sent.Sub(o.ackedAt[settled]), settled)
		}
		o.recorder.mu.Unlock()
	}
}

// ackedVersions returns the newest acknowledged version that must be in force everywhere,
// and the newest of all.
func (o *operator) ackedVersions() (settled, newest int) {
	o.recorder.mu.Lock()
	defer o.recorder.mu.Unlock()
	for version, at := range o.ackedAt {
		newest = max(newest, version)
		if time.Since(at) > applyTimeout {
			settled = max(settled, version)
		}
	}
	return settled, newest
}

// publishConflicting publishes different configurations under one version at the
// same time.
func (o *operator) publishConflicting() {
	o.version++
	done := make(chan struct{})
	other := &operator{fleet: o.fleet, rng: rand.New(rand.NewPCG(o.rng.Uint64(), 1))}
	version := o.version
	go func() {
		defer close(done)
		other.publish(version, 2, time.Second)
	}()
	o.publish(version, 1, time.Second)
	<-done
}
