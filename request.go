package boragewick

import "time"

// Request is a caller's request on its way from a router to an agent.
type Request struct {
	ID        RequestID `cbor:"id"`
	Workspace ID        `cbor:"workspace"`
	// Weight is the workspace's share in the agent's queue.
	Weight uint32       `cbor:"weight"`
	Route  ID           `cbor:"route"`
	Pool   string       `cbor:"pool"`
	Kind   EndpointKind `cbor:"kind"`
	// Model is what a model endpoint must have loaded.
	Model Model `cbor:"model"`
	// Target is the run of the agent that the request was sent to.
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
	// Stream tells that the answer comes token by token.
	Stream bool `cbor:"stream,omitempty"`
	// Priority is served first when higher; zero is ordinary. It orders the
	// requests of one workspace; an agent replaces it for the engine.
	Priority int `cbor:"priority"`
	// Deadline is when the first token is worth nothing any more.
	Deadline time.Time `cbor:"deadline"`
	// Claim is set on requests that must run at most once.
	Claim *Claim `cbor:"claim,omitempty"`
	// Watch keeps the request's service level at the router.
	Watch Watch `cbor:"-"`
	// Trace tells at the router why the request goes where it goes.
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

// End closes an answer that is whole.
type End struct {
	// PromptTokens, CachedTokens and OutputTokens are what the engine counted.
	// An engine that does not count leaves the first two zero and the last one
	// estimated.
	PromptTokens uint64 `cbor:"prompt_tokens"`
	CachedTokens uint64 `cbor:"cached_tokens"`
	OutputTokens uint64 `cbor:"output_tokens"`
}
