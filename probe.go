package boragewick

import "time"

// Probe asks an agent how it would serve a request.
type Probe struct {
	Workspace    ID          `cbor:"workspace"`
	Model        Model       `cbor:"model"`
	Blocks       []BlockHash `cbor:"blocks"`
	PromptTokens uint64      `cbor:"prompt_tokens"`
	// Deadline is when the first token is no longer of any use; zero means never.
	Deadline time.Time `cbor:"deadline"`
}

// ProbeReply is the state of an agent and its engine at one instant, as the
// agent sees it.
type ProbeReply struct {
	Endpoint    string      `cbor:"endpoint"`
	Incarnation Incarnation `cbor:"incarnation"`
	// Matched is the number of leading blocks that the engine has cached.
	Matched int `cbor:"matched"`
	// Queued is the prefill work ahead of the request in tokens.
	Queued uint64 `cbor:"queued"`
	// Running is the number of requests in the engine's batch.
	Running int `cbor:"running"`
	// FirstToken is when the first token is expected on the agent's clock.
	FirstToken time.Time `cbor:"first_token"`
	// Now is the time of the reply on the agent's clock.
	Now time.Time `cbor:"now"`
	// Refuse reports whether the agent would refuse the request.
	Refuse bool `cbor:"refuse,omitempty"`
}
