package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// The services of the deployment.
const (
	engineService = "llm"
	plainService  = "desk"
	model         = "model-1"
)

// operatorTimeout is how long the operator waits for an answer before it tries another node.
const operatorTimeout = time.Second

// operator sends configurations to the control processes and reads them back.
type operator struct {
	rec   *record
	nodes []*machine
}

// call sends one request to a node and returns the status and the body.
func (o *operator) call(method string, node *machine, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+node.control()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// publish sends a configuration to the nodes in turn until it is acknowledged.
func (o *operator) publish(config map[string]any, within time.Duration) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return o.send(http.MethodPut, "/config", body, fmt.Sprintf("version %v", config["version"]), within)
}

// nameWeights names a version of the model's weights.
func (o *operator) nameWeights(version int, within time.Duration) error {
	body := fmt.Sprintf(`{"model":%q,"version":%d}`, model, version)
	return o.send(http.MethodPost, "/version-put", []byte(body), "weights", within)
}

func (o *operator) send(method, path string, body []byte, what string, within time.Duration) error {
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		node := o.nodes[i%len(o.nodes)]
		status, answer, err := o.call(method, node, path, body)
		if err == nil && status == http.StatusOK {
			o.rec.log("operator: %s acknowledged by %s", what, node.name)
			return nil
		}
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return fmt.Errorf("%s refused with %d: %s", what, status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.rec.log("operator: %s not acknowledged within %s", what, within)
	return fmt.Errorf("%s not acknowledged within %s", what, within)
}

// read returns the version that a node returns, or zero if it returns none.
func (o *operator) read(node *machine) int {
	status, body, err := o.call(http.MethodGet, node, "/config", nil)
	if err != nil || status != http.StatusOK {
		return 0
	}
	var config struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(body, &config) != nil {
		return 0
	}
	return config.Version
}

// newConfig returns a configuration with one route to each service.
func newConfig(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": 500,
			"priority": 1, "service": service, "maxAttempts": 2, "allowAnonymous": true, "sessionAffinity": service == engineService, "resumable": false, "targetGapMs": 400,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "/chat/", "streaming", engineService, 15000),
			route("order", "/order/", "unsafe", plainService, 3000),
		},
		"services": []any{
			map[string]any{"name": engineService, "healthPath": "/health", "maxConnections": 380, "protocol": "h1", "tls": false, "engine": engineRule()},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{},
	}
}

// engineRule describes the model runners.
func engineRule() map[string]any {
	return map[string]any{
		"slots": 64, "kvCapacityTokens": 119086, "kvTokenBytes": kvTokenBytes, "linkMbps": linkMbps, "moves": true, "backups": false, "stride": 5,
		"maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": model}},
	}
}

// setRoute changes fields of the route with the name.
func setRoute(config map[string]any, name string, fields map[string]any) {
	for _, r := range config["routes"].([]any) {
		route := r.(map[string]any)
		if route["name"] == name {
			for k, v := range fields {
				route[k] = v
			}
		}
	}
}

// names returns the names of the machines.
func names(list []*machine) string {
	var all []string
	for _, m := range list {
		all = append(all, m.name)
	}
	return strings.Join(all, " ")
}

// setEngine changes fields of the rule of the model runners.
func setEngine(config map[string]any, fields map[string]any) {
	for _, s := range config["services"].([]any) {
		if rule, ok := s.(map[string]any)["engine"].(map[string]any); ok {
			for k, v := range fields {
				rule[k] = v
			}
		}
	}
}
