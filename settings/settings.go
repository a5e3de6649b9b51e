// Package settings reads and checks a process's settings from an INI file.
package settings

import (
	"net/netip"
	"time"
)

// Settings are the settings of one process. Only settings hold durations; the
// running services store deadlines.
type Settings struct {
	Instance instance `ini:"instance"`
	Links    links    `ini:"links"`
	Control  control  `ini:"control"`
	Keys     keys     `ini:"keys"`
	Caller   caller   `ini:"caller"`
	Operator operator `ini:"operator"`
	Agent    agent    `ini:"agent"`
	Report   report   `ini:"report"`
	Log      logging  `ini:"log"`
}

// instance identifies the process, its location and its services.
type instance struct {
	Name          string   `ini:"name"`
	FailureDomain string   `ini:"failure_domain"`
	Region        string   `ini:"region"`
	Services      []string `ini:"services"`
	Data          string   `ini:"data"`
}

// links configures the connections between the processes of a deployment.
type links struct {
	Listen netip.AddrPort `ini:"listen"`
	// Authority names the PEM file of the deployment's certificate authority and
	// Certificate the one of the instance's certificate and key.
	Authority   string `ini:"authority_file"`
	Certificate string `ini:"certificate_file"`
	// InsecureOK allows links without certificates on other than loopback
	// addresses.
	InsecureOK bool `ini:"insecure_ok"`
}

// control lists the control replicas as name@address.
type control struct {
	Replicas []Replica `ini:"replicas"`
	// FreshFor is how long a router serves keyed requests after the last proof
	// that its configuration was the newest.
	FreshFor time.Duration `ini:"fresh_for"`
	// LeaseFor is how long an endpoint stays in the directory after its agent was
	// last heard from.
	LeaseFor time.Duration `ini:"lease_for"`
	// MaxLoads is the number of endpoints that may load weights at once.
	MaxLoads int `ini:"loads"`
}

// Replica is the name and the address of one control replica.
type Replica struct {
	Name    string
	Address netip.AddrPort
}

// keys names the file with the secret of the keyed hash for callers' keys.
type keys struct {
	HashSecretFile string `ini:"hash_secret_file"`
}

// caller configures the service that answers callers.
type caller struct {
	Listen       netip.AddrPort `ini:"listen"`
	Certificate  string         `ini:"certificate_file"`
	Key          string         `ini:"key_file"`
	MaxBodyBytes int64          `ini:"max_body_bytes"`
	// FirstTokenTimeout is how long a caller waits for the first token at most.
	FirstTokenTimeout time.Duration `ini:"first_token"`
	// DrainTimeout is how long a shutdown waits for running requests.
	DrainTimeout time.Duration `ini:"drain_for"`
}

// operator configures the service that answers operators.
type operator struct {
	Listen      netip.AddrPort `ini:"listen"`
	Certificate string         `ini:"certificate_file"`
	Key         string         `ini:"key_file"`
	TokensFile  string         `ini:"tokens_file"`
}

// agent describes the endpoint that the agent serves.
type agent struct {
	Pool     string         `ini:"pool"`
	Kind     string         `ini:"kind"`
	Endpoint netip.AddrPort `ini:"endpoint"`
	Models   []string       `ini:"models"`
	// Batch is the number of requests that the engine runs at once.
	Batch int `ini:"batch"`
	// ChecksFencing is set if the endpoint itself refuses old fencing numbers.
	ChecksFencing bool `ini:"checks_fencing"`
	// KVStore is the deployment's KV cache store; empty means none.
	KVStore netip.AddrPort `ini:"kv_store"`
}

// report sets the service-level objectives and the order of the burn report.
type report struct {
	// OrderBy is the objective by which the burn report is ordered; empty
	// orders by the smallest remaining error budget of any objective.
	OrderBy             string        `ini:"first"`
	FirstTokenWithin    time.Duration `ini:"first_token_within"`
	BetweenTokensWithin time.Duration `ini:"between_tokens_within"`
}

// logging sets the level and the format of the log.
type logging struct {
	Level  string `ini:"level"`
	Format string `ini:"format"`
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	var s Settings
	s.Control.FreshFor = 2 * time.Second
	s.Control.LeaseFor = 6 * time.Second
	s.Control.MaxLoads = 2
	s.Caller.MaxBodyBytes = 8 << 20
	s.Caller.FirstTokenTimeout = 30 * time.Second
	s.Caller.DrainTimeout = 30 * time.Second
	s.Agent.Batch = 16
	s.Log.Level = "info"
	s.Log.Format = "logfmt"
	return s
}
