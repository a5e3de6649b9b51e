// Package prompt parses the body of an OpenAI-style request and hashes the
// block-aligned prefixes of its prompt.
package prompt

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

// blockBytes is the length of one block in bytes of prompt text.
const blockBytes = boragewick.BlockTokens * boragewick.BytesPerToken

// separator cannot appear in decoded JSON strings, which are valid UTF-8.
const separator = 0xff

// Prompt is what routing needs from the body of a chat or completion request.
type Prompt struct {
	// Model is the model name that the caller asked for.
	Model string
	// MaxTokens is the largest number of output tokens; zero when not given.
	MaxTokens uint64
	// Stream reports whether the caller wants the response as server-sent events.
	Stream bool
	// Text is the canonical form of the prompt: equal prompts have equal texts
	// whatever the layout of their JSON, and the text of a conversation is a
	// prefix of the texts of its continuations.
	Text []byte
}

// body is the JSON form of a request body.
type body struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              any             `json:"prompt"`
	Tools               json.RawMessage `json:"tools"`
	MaxTokens           uint64          `json:"max_tokens"`
	MaxCompletionTokens uint64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

// message is one chat message.
type message struct {
	Role       string          `json:"role"`
	Name       string          `json:"name"`
	Content    any             `json:"content"`
	ToolCalls  json.RawMessage `json:"tool_calls"`
	ToolCallID string          `json:"tool_call_id"`
}

// Parse reads a request body with chat messages or a completion prompt. The
// error is ErrMalformed, marked not run.
func Parse(b []byte) (*Prompt, error) {
	var in body
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, malformed(err)
	}
	if in.Messages == nil && in.Prompt == nil {
		return nil, malformed(errors.New("neither messages nor prompt"))
	}
	p := &Prompt{Model: in.Model, MaxTokens: in.MaxTokens, Stream: in.Stream}
	if in.MaxCompletionTokens != 0 {
		p.MaxTokens = in.MaxCompletionTokens
	}
	w := writer{buf: make([]byte, 0, len(b))}
	w.raw(in.Tools)
	w.content(in.Prompt)
	for i := range in.Messages {
		w.message(&in.Messages[i])
	}
	if w.err != nil {
		return nil, malformed(w.err)
	}
	p.Text = w.buf
	return p, nil
}

// Tokens returns the estimated number of prompt tokens.
func (p *Prompt) Tokens() uint64 {
	return uint64(len(p.Text)+boragewick.BytesPerToken-1) / boragewick.BytesPerToken
}

// Blocks returns the chained hashes of the prompt's whole blocks. A partial last
// block has no hash, because engines cache whole blocks.
func (p *Prompt) Blocks(seed boragewick.PrefixSeed) []boragewick.BlockHash {
	blocks := make([]boragewick.BlockHash, len(p.Text)/blockBytes)
	h := hashSeed(seed)
	for i := range blocks {
		h = chain(h, xxh3.Hash(p.Text[i*blockBytes:(i+1)*blockBytes]))
		blocks[i] = boragewick.BlockHash(h)
	}
	return blocks
}

// chain combines the hash of the preceding blocks with that of the next block,
// using the finalizer of SplitMix64.
func chain(before, block uint64) uint64 {
	z := before*0x9e3779b97f4a7c15 + block
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// hashSeed returns the hash that the first block is chained to.
func hashSeed(seed boragewick.PrefixSeed) uint64 {
	b := make([]byte, 0, 256)
	for _, s := range [...]string{string(seed.Workspace), seed.Model.Name, seed.Model.Weights, seed.Model.Adapter} {
		b = append(b, s...)
		b = append(b, separator)
	}
	return xxh3.Hash(b)
}

func malformed(err error) error {
	return boragewick.NotRun(errors.Mark(errors.Wrap(err, "request body"), boragewick.ErrMalformed))
}

// writer appends to the canonical text and keeps the first error.
type writer struct {
	buf []byte
	err error
}

func (w *writer) message(m *message) {
	w.text(m.Role)
	w.text(m.Name)
	w.text(m.ToolCallID)
	w.raw(m.ToolCalls)
	w.content(m.Content)
}

func (w *writer) text(s string) {
	w.buf = append(w.buf, s...)
	w.buf = append(w.buf, separator)
}

// raw appends JSON without insignificant white space.
func (w *writer) raw(b json.RawMessage) {
	out := bytes.NewBuffer(w.buf)
	if len(b) > 0 {
		w.recordError(json.Compact(out, b))
	}
	w.buf = append(out.Bytes(), separator)
}

// content appends a string, a list of parts or any other value.
func (w *writer) content(v any) {
	switch v := v.(type) {
	case nil:
		w.text("")
	case string:
		w.text(v)
	case []any:
		for _, p := range v {
			w.part(p)
		}
	default:
		w.value(v)
	}
}

// part appends the text of a text part, and JSON with sorted keys otherwise.
func (w *writer) part(v any) {
	m, ok := v.(map[string]any)
	if !ok {
		w.value(v)
		return
	}
	kind, ok := m["type"].(string)
	if !ok && m["type"] != nil {
		w.recordError(errors.New("the type of a part is no string"))
	}
	if kind != "text" {
		w.value(v)
		return
	}
	text, ok := m["text"].(string)
	if !ok {
		w.recordError(errors.New("the text of a part is no string"))
	}
	w.text(text)
}

func (w *writer) value(v any) {
	b, err := json.Marshal(v)
	w.recordError(err)
	w.buf = append(w.buf, b...)
	w.buf = append(w.buf, separator)
}

func (w *writer) recordError(err error) {
	if w.err == nil {
		w.err = err
	}
}
