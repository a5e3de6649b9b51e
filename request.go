package boragewick

import "time"

// Request is a caller's request on its way from a router to an agent.
type Request struct {
	ID        RequestID `cbor:"id"`
	Workspace ID        `cbor:"workspace"`
	// Weight is the workspace's share of the agent's queue.
	Weight uint32       `cbor:"weight"`
	Route  ID           `cbor:"route"`
	Pool   string       `cbor:"pool"`
	Kind   EndpointKind `cbor:"kind"`
	// Model is the model that a model endpoint must have loaded.
	Model Model `cbor:"model"`
	// Target is the run of the agent to which the request was sent.
	Target Incarnation `cbor:"target"`
	// Method, Path, Header and Body are those of the HTTP request. Path
	// includes the query. Header holds no caller's key.
	Method string        `cbor:"method"`
	Path   string        `cbor:"path"`
	Header []HeaderField `cbor:"header"`
	Body   []byte        `cbor:"body"`
	// Blocks are the hashes of the prompt's nested prefixes.
	Blocks []BlockHash `cbor:"blocks,omitempty"`
	// PromptTokens and MaxTokens are the estimated prompt and the largest output.
	PromptTokens uint64 `cbor:"prompt_tokens"`
	MaxTokens    uint64 `cbor:"max_tokens"`
	// Stream reports whether the answer is streamed token by token.
	Stream bool `cbor:"stream,omitempty"`
	// Priority orders the requests of one workspace, higher ones first; zero is
	// normal. An agent replaces it for the engine.
	Priority int `cbor:"priority"`
	// Deadline is when the first token is no longer of any use.
	Deadline time.Time `cbor:"deadline"`
	// Claim is set on requests that must run at most once.
	Claim *Claim `cbor:"claim,omitempty"`
	// Watch tracks the request's service level at the router.
	Watch Watch `cbor:"-"`
	// Trace records at the router why the request is routed as it is.
	Trace *Trace `cbor:"-"`
}

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// Chunk is one part of the answer to a request, in order. The first chunk has
// a Head and the last one an End.
type Chunk struct {
	Request RequestID `cbor:"request"`
	// Number counts the chunks of one answer from 1.
	Number uint64 `cbor:"number"`
	Head   *Head  `cbor:"head,omitempty"`
	Data   []byte `cbor:"data,omitempty"`
	End    *End   `cbor:"end,omitempty"`
}

// Head is the status line and header of an endpoint's answer.
type Head struct {
	Status int           `cbor:"status"`
	Header []HeaderField `cbor:"header"`
}

// End marks the end of a complete answer.
type End struct {
	// PromptTokens, CachedTokens and OutputTokens are what the engine counted.
	// An engine that does not count leaves the first two zero and the last one
	// estimated.
	PromptTokens uint64 `cbor:"prompt_tokens"`
	CachedTokens uint64 `cbor:"cached_tokens"`
	OutputTokens uint64 `cbor:"output_tokens"`
}
