package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long operators and servers wait for an answer before they call
// another process.
const callTimeout = time.Second

const (
	// orderWork is the work of an order, and orderTimeout the time budget of a caller, both
	// as on the sheet of kob-gj.
	orderWork    = 60 * time.Millisecond
	orderTimeout = 3 * time.Second
)

// object is a JSON object.
type object = map[string]any

// call sends a request to a process and returns the status, which is 0 without an answer.
func call(method, addr, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// callAny calls the control processes in turn until one answers with 2xx.
func (d *deployment) callAny(method, path string, body []byte, timeout time.Duration) error {
	last := 0
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, addr := range d.controls() {
			if last = call(method, addr, path, body); last/100 == 2 {
				return nil
			}
		}
	}
	return fmt.Errorf("%w: %s %s is not acknowledged, last status %d", errNotRun, method, path, last)
}

// publish sends a configuration until it is acknowledged.
func (d *deployment) publish(config object) error {
	b, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := d.callAny(http.MethodPut, "/config", b, 20*time.Second); err != nil {
		return err
	}
	d.rec.log("operator: configuration %v acknowledged", config["version"])
	return nil
}

// newConfig returns a configuration with the limits of the users' installations.
func newConfig(version int, routes, services, tenants []any) object {
	return object{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// plainService returns the service order-desk, which has no engines.
func plainService() object {
	return object{"name": "order-desk", "healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": false}
}

// modelService returns a service of engines for the model.
func modelService(name, model string) object {
	return object{
		"name": name, "healthPath": "/health", "maxConnections": 380, "protocol": "h1", "tls": false,
		"engine": object{
			"slots": 64, "kvCapacityTokens": 119086, "kvTokenBytes": 18432, "linkMbps": 370000.0, "moves": false, "backups": false,
			"stride": 5, "maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
			"models": []any{object{"name": model}},
		},
	}
}

// waitReady waits until the routers of the hosts are ready.
func (d *deployment) waitReady(hosts ...int) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if status := call(http.MethodGet, d.addr(h, readinessPort), "/ready", nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(hosts) {
			return nil
		}
	}
	return fmt.Errorf("%w: routers are not ready", errNotRun)
}

// orderRoute returns the route of the orders.
func orderRoute(attempts int) object {
	return object{
		"name": "r-order", "host": "desk.example", "pathPrefix": "/order/", "kind": "unsafe", "timeoutMs": orderTimeout.Milliseconds(),
		"targetLatencyMs": 300, "priority": 2, "service": "order-desk", "maxAttempts": attempts, "allowAnonymous": false,
	}
}

// shopTenant is a tenant without a limit.
func shopTenant() object {
	return object{"name": "shop", "apiKeys": []any{"key-shop"}, "priority": 1, "ratePerS": 0, "burst": 0}
}
