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

// operator publishes configurations, names weights and reads back.
type operator struct {
	*fleet
	rng     *rand.Rand
	version int
}

// tcpAddr returns the address with any port.
func tcpAddr(addr netip.Addr) net.Addr { return net.TCPAddrFromAddrPort(netip.AddrPortFrom(addr, 0)) }

// exchange makes a call on a connection of its own. It returns zero without an
// answer.
func exchange(d *net.Dialer, method string, addr netip.AddrPort, path, body string) (int, string) {
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

// document returns the configuration of the version, by one of two operators.
func (f *fleet) document(version, author int) string {
	list := []any{}
	for _, r := range append(append([]*route{}, routes...), &route{prefix: addedRoute(version), kind: "safe", pool: deskPool, timeout: time.Second, attempts: 2}) {
		list = append(list, map[string]any{
			"name": "r" + strings.Trim(r.prefix, "/"), "host": host, "pathPrefix": r.prefix, "kind": r.kind, "service": r.pool,
			"timeoutMs": r.timeout.Milliseconds(), "targetLatencyMs": 400 + author, "targetGapMs": 400, "priority": 1,
			"maxAttempts": r.attempts, "resumable": r.resumable, "sessionAffinity": r.pool == modelPool,
		})
	}
	var owners []any
	for _, t := range tenants {
		owners = append(owners, map[string]any{
			"name": t.name, "apiKeys": []string{"key-" + t.name}, "unit": "token_metering", "plainTokens": plainTokens,
			"dedicated": t.name == walled, "ratePerS": t.rate, "burst": t.rate,
		})
	}
	services := []any{
		map[string]any{"name": modelPool, "healthPath": "/health", "maxConnections": 300, "protocol": "h1", "engine": map[string]any{
			"slots": slots, "kvCapacityTokens": held, "kvTokenBytes": 18432, "linkMbps": 1000, "moves": true, "backups": true,
			"stride": 5, "maxInflight": 12, "handle_s": 5, "models": []any{map[string]any{"name": modelName}},
		}},
		map[string]any{"name": deskPool, "healthPath": "/health", "maxConnections": 200, "protocol": "h1"},
	}
	for _, e := range f.engines {
		if e.pool == storePool {
			services = append(services, map[string]any{
				"name": fmt.Sprint(storePool, e.number), "kvStoreAddr": e.advertised.String(), "zone": "z0",
				"kvCapacityTokens": mostParts * partSize, "linkMbps": 1000, "maxInflight": 12,
			})
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "tenants": owners, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err.Error()
	}
	return string(b)
}

func addedRoute(version int) string { return fmt.Sprintf("/v%d/", version) }

// publish sends the document to one process after the other until it is
// acknowledged or the time is over.
func (o *operator) publish(version, author int, long time.Duration) bool {
	doc := o.document(version, author)
	o.book.mu.Lock()
	o.sentDocs[version] = append(o.sentDocs[version], doc)
	o.book.mu.Unlock()
	for deadline := time.Now().Add(long); time.Now().Before(deadline); {
		status, body := o.call(http.MethodPut, "/config", doc)
		switch {
		case status == http.StatusOK:
			o.book.mu.Lock()
			if version > o.acked {
				o.acked = version
			}
			if o.ackedAt[version].IsZero() {
				o.ackedAt[version] = time.Now()
			}
			o.book.mu.Unlock()
			return true
		case status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout:
			if author == 0 {
				o.wrong("CONFIG", "the valid configuration %d is refused with %d %s", version, status, body)
			}
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// nameWeights names new weights.
func (o *operator) nameWeights(version int, long time.Duration) bool {
	o.book.mu.Lock()
	o.named = max(o.named, version)
	o.book.mu.Unlock()
	for deadline := time.Now().Add(long); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status, _ := o.call(http.MethodPost, "/version-put", fmt.Sprintf(`{"model":%q,"version":%d}`, modelName, version)); status == http.StatusOK {
			o.book.mu.Lock()
			o.confirms = max(o.confirms, version)
			o.book.mu.Unlock()
			return true
		}
	}
	return false
}

// read reads the configuration back from a process and judges it.
func (o *operator) read(addr netip.AddrPort) bool {
	o.book.mu.Lock()
	least := 0
	for version, at := range o.ackedAt {
		if time.Since(at) > applyWithin {
			least = max(least, version)
		}
	}
	o.book.mu.Unlock()
	status, body := exchange(&net.Dialer{}, http.MethodGet, addr, "/config", "")
	if status != http.StatusOK {
		return false
	}
	var got struct{ Version int }
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		o.wrong("CONFIG", "%s reads %q", addr, body)
		return false
	}
	o.book.mu.Lock()
	defer o.book.mu.Unlock()
	if got.Version < least {
		o.wrongLocked("CONFIG", "%s reads version %d, and %d was acknowledged", addr, got.Version, least)
	}
	for i, doc := range o.sentDocs[got.Version] {
		if !equalJSON(doc, body) {
			continue
		}
		if other, ok := o.readDocs[got.Version]; ok && other != i {
			o.wrongLocked("CONFIG", "%s reads another version %d than was read before", addr, got.Version)
		}
		o.readDocs[got.Version] = i
		return true
	}
	o.wrongLocked("CONFIG", "%s reads as version %d what nobody sent under it", addr, got.Version)
	return false
}

func equalJSON(a, b string) bool {
	var x, y any
	if json.Unmarshal([]byte(a), &x) != nil || json.Unmarshal([]byte(b), &y) != nil {
		return false
	}
	p, err := json.Marshal(x)
	q, err2 := json.Marshal(y)
	return err == nil && err2 == nil && string(p) == string(q)
}

// call makes a call to any control process.
func (o *operator) call(method, path, body string) (int, string) {
	list := o.controls()
	return exchange(&net.Dialer{}, method, list[o.rng.IntN(len(list))], path, body)
}

// run makes changes until ctx is done.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(100+o.rng.IntN(400)) * time.Millisecond)
		switch o.rng.IntN(6) {
		case 0, 1:
			o.version += 1 + o.rng.IntN(3)
			o.publish(o.version, 0, 2*time.Second)
		case 2:
			o.race()
		case 3:
			if o.rng.IntN(2) == 0 {
				o.nameWeights(o.named+1, 2*time.Second)
			}
		}
	}
}

// watch reads the configuration from every process until ctx is done.
func (o *operator) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, addr := range o.controls() {
			o.read(addr)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// race sends different configurations under one version at once.
func (o *operator) race() {
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
