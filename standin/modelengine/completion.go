package modelengine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/boragewick/boragewick"
)

// completionRequest holds the fields of an OpenAI request that the stand-in
// uses.
type completionRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Prompt              string    `json:"prompt"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is a response or one chunk of a streamed response.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// complete handles a new completion request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	var blocks boragewick.BlockList
	if err := blocks.UnmarshalText([]byte(r.Header.Get(headerBlocks))); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	id := cmp.Or(r.Header.Get(headerRequestID), string(boragewick.NewRequestID()))
	run := newRun(id, body, &c)
	run.blocks = blocks
	run.priority, _ = strconv.Atoi(r.Header.Get(headerPriority))
	run.stream, run.chat = c.Stream, strings.Contains(r.URL.Path, "chat")
	e.mu.Lock()
	if !e.loaded(c.Model, r.Header) {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "model_not_loaded", "the model is not loaded in that version")
		return
	}
	if _, ok := e.runs[id]; ok {
		e.mu.Unlock()
		writeError(w, http.StatusConflict, "known_request", "the request ID is known already")
		return
	}
	e.enqueue(run)
	e.mu.Unlock()
	a := answer{engine: e, run: run}
	a.write(w, r, 0)
}

func newRun(id string, body []byte, c *completionRequest) *run {
	textBytes := len(c.Prompt)
	for _, m := range c.Messages {
		textBytes += len(m.Content)
	}
	return &run{
		id:           id,
		seed:         fmt.Sprintf("%06x", xxh3.HashString(id+string(body))&0xffffff),
		promptTokens: max(1, textBytes/boragewick.BytesPerToken),
		max:          cmp.Or(c.MaxTokens, c.MaxCompletionTokens, defaultMaxTokens),
		changed:      make(chan struct{}),
	}
}

// loaded reports whether the model is loaded with the weights and adapter that
// the request's headers ask for; an absent header matches any. It is true for
// every model if none is loaded. The caller holds mu.
func (e *Engine) loaded(model string, h http.Header) bool {
	if len(e.models) == 0 {
		return true
	}
	for _, m := range e.models {
		weights := cmp.Or(h.Get(headerWeights), m.Weights)
		adapter := cmp.Or(h.Get(headerAdapter), m.Adapter)
		if m.Name == model && m.Weights == weights && m.Adapter == adapter {
			return true
		}
	}
	return false
}

// resume writes the response of a retained run again. A stream starts after the
// token number given by the query parameter "from".
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "malformed", "from must be a token number")
		return
	}
	e.mu.Lock()
	run := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if run == nil {
		writeError(w, http.StatusNotFound, "unknown_request", "the request is not known")
		return
	}
	a := answer{engine: e, run: run}
	a.write(w, r, from)
}

// cancel cancels a run. The ID of an unknown run is retained as canceled, so
// that a request that arrives with it later is refused.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	if e.runs[id] == nil {
		e.retain(&run{id: id, changed: make(chan struct{})})
	}
	run := e.runs[id]
	run.canceled = true
	run.notify()
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// answer writes the response of a run to one connection.
type answer struct {
	engine *Engine
	run    *run
	// id and seed are those of the run, or other ones with FaultCrossedAnswer.
	id, seed string
	// cutAfter is the number of the token after which a stream ends early;
	// zero means never. Any other value halves the body of an unstreamed
	// response.
	cutAfter int
	truncate bool
}

func (a *answer) write(w http.ResponseWriter, r *http.Request, from int) {
	a.id, a.seed = a.run.id, a.run.seed
	delay := time.NewTimer(a.engine.applyFaults(a))
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerRequestID, a.id)
	if !a.run.stream {
		a.writeWhole(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the next write fails on a lost connection
	for n := from + 1; n <= a.run.max; n++ {
		if !a.wait(r, n) {
			return
		}
		if a.cutAfter > 0 && n > a.cutAfter {
			if !a.truncate {
				panic(http.ErrAbortHandler)
			}
			return
		}
		a.writeEvent(w, n, a.chunk(n))
	}
	a.writeEvent(w, a.run.max+1, a.lastChunk())
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// wait blocks until the run has generated token n. It returns false if the run
// is canceled or the caller is gone, and aborts the response if the engine no
// longer retains the run.
func (a *answer) wait(r *http.Request, n int) bool {
	for {
		a.engine.mu.Lock()
		tokens, canceled, changed, epochEnded := a.run.tokens, a.run.canceled, a.run.changed, a.engine.epochEnded
		known := a.engine.runs[a.run.id] == a.run
		a.engine.mu.Unlock()
		switch {
		case !known:
			panic(http.ErrAbortHandler)
		case tokens >= n:
			return true
		case canceled:
			return false
		}
		select {
		case <-changed:
		case <-epochEnded:
		case <-r.Context().Done():
			return false
		}
	}
}

func (a *answer) token(n int) string { return fmt.Sprintf("%s-%d ", a.seed, n) }

func (a *answer) chunk(n int) completion {
	c := completion{ID: a.id, Object: "chat.completion.chunk", Choices: []choice{{}}}
	if a.run.chat {
		c.Choices[0].Delta = &message{Role: "assistant", Content: a.token(n)}
		return c
	}
	c.Object = "text_completion"
	c.Choices[0].Text = a.token(n)
	return c
}

func (a *answer) lastChunk() completion {
	stop := "stop"
	c := a.chunk(0)
	c.Choices = []choice{{FinishReason: &stop}}
	c.Usage = a.usage()
	return c
}

func (a *answer) usage() *usage {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()
	return &usage{
		PromptTokens:     a.run.promptTokens,
		CompletionTokens: a.run.tokens,
		Details:          usageDetails{CachedTokens: a.run.cachedTokens},
	}
}

func (a *answer) writeEvent(w http.ResponseWriter, n int, c completion) {
	b, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b)
	_ = http.NewResponseController(w).Flush() // a lost connection cancels the request's context
}

func (a *answer) writeWhole(w http.ResponseWriter, r *http.Request) {
	if !a.wait(r, a.run.max) {
		return
	}
	var text strings.Builder
	for n := 1; n <= a.run.max; n++ {
		text.WriteString(a.token(n))
	}
	c := a.lastChunk()
	c.Object = "chat.completion"
	if a.run.chat {
		c.Choices[0].Message = &message{Role: "assistant", Content: text.String()}
	} else {
		c.Object = "text_completion"
		c.Choices[0].Text = text.String()
	}
	b, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if a.cutAfter > 0 {
		b = b[:len(b)/2]
	}
	_, _ = w.Write(b)
}
