package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const (
	// defaultMaxTokens is the largest output of a request that names none.
	defaultMaxTokens = 1024
	// largestMaxTokens is the largest output that a request may name.
	largestMaxTokens = 1 << 20
)

// idempotencyHeader carries the caller's key for a request that runs once.
const idempotencyHeader = "Idempotency-Key"

// openWorkspace stands for callers without a key on open routes.
var openWorkspace = &boragewick.Object{Kind: boragewick.KindWorkspace, Workspace: &boragewick.Workspace{Weight: 1}}

// modelBody is what the router needs of an OpenAI-style request body.
type modelBody struct {
	Model               string  `json:"model"`
	Stream              bool    `json:"stream"`
	MaxTokens           *uint64 `json:"max_tokens"`
	MaxCompletionTokens *uint64 `json:"max_completion_tokens"`
}

func (m *modelBody) maxTokens() uint64 {
	switch {
	case m.MaxCompletionTokens != nil:
		return *m.MaxCompletionTokens
	case m.MaxTokens != nil:
		return *m.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// parseModelBody returns the body with a max_tokens, so that the engine
// generates no more than was reserved.
func parseModelBody(body []byte) (modelBody, []byte, error) {
	var m modelBody
	if err := json.Unmarshal(body, &m); err != nil {
		return m, nil, errors.Wrapf(boragewick.ErrMalformed, "body: %s", err)
	}
	if m.Model == "" {
		return m, nil, errors.Wrap(boragewick.ErrMalformed, "body: model is missing")
	}
	if m.maxTokens() > largestMaxTokens {
		return m, nil, errors.Wrapf(boragewick.ErrMalformed, "body: max_tokens is above %d", largestMaxTokens)
	}
	if m.MaxTokens != nil || m.MaxCompletionTokens != nil {
		return m, body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return m, nil, errors.Wrapf(boragewick.ErrMalformed, "body: %s", err)
	}
	limit, err := json.Marshal(m.maxTokens())
	if err != nil {
		return m, nil, err
	}
	fields["max_tokens"] = limit
	body, err = json.Marshal(fields)
	return m, body, err
}

func (c *Caller) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errors.Wrapf(boragewick.ErrTooLarge, "body above %d bytes", large.Limit)
	}
	if err != nil {
		return nil, errors.Wrapf(boragewick.ErrMalformed, "body: %s", err)
	}
	return body, nil
}

// authenticate returns the workspace of the request's key, or openWorkspace
// on an open route without a key.
func (c *Caller) authenticate(r *http.Request, route func() (*boragewick.Object, error)) (*boragewick.Object, error) {
	header := r.Header.Get("Authorization")
	if header == "" {
		if o, err := route(); err == nil && o.Route.Open {
			return openWorkspace, nil
		}
		return nil, errors.Wrap(boragewick.ErrMissingKey, "send the header Authorization: Bearer KEY")
	}
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil, errors.Wrap(boragewick.ErrMalformedKey, "send the header Authorization: Bearer KEY")
	}
	hash, err := c.Hasher.Hash(key)
	if err != nil {
		return nil, err
	}
	if strings.Contains(r.RequestURI, key) {
		return nil, errors.Wrap(boragewick.ErrMalformed, "the URL holds the key")
	}
	return c.View.Key(hash)
}

func (c *Caller) newRequest(id boragewick.RequestID, r *http.Request, workspace, route *boragewick.Object, body []byte) *boragewick.Request {
	q := &boragewick.Request{
		ID:        id,
		Workspace: workspace.ID,
		Weight:    workspace.Workspace.Weight,
		Route:     route.ID,
		Pool:      route.Route.Pool,
		Kind:      boragewick.EndpointPlain,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      body,
		Deadline:  c.Clock.Now().Add(c.FirstToken),
	}
	if route.Route.Model != "" {
		q.Kind = boragewick.EndpointModel
		q.Model = boragewick.Model{Name: route.Route.Model, Weights: route.Route.Weights, Adapter: route.Route.Adapter}
	}
	if !route.Route.Repeatable {
		q.Claim = &boragewick.Claim{Workspace: workspace.ID, Key: claimKey(id, r), Request: id}
	}
	return q
}

func claimKey(id boragewick.RequestID, r *http.Request) string {
	if key := r.Header.Get(idempotencyHeader); key != "" {
		return key
	}
	return string(id)
}

// withheldHeaders never reach an endpoint: they hold secrets of the caller or
// concern one connection only.
var withheldHeaders = []string{
	"Authorization", "Cookie", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Proxy-Connection",
	"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	requestIDHeader,
}

// modelHeaders are the only headers that reach a model engine.
var modelHeaders = []string{"Content-Type", "Accept"}

func modelHeader(h http.Header) []boragewick.HeaderField {
	return filterHeader(h, func(name string) bool { return slices.Contains(modelHeaders, name) })
}

func plainHeader(h http.Header) []boragewick.HeaderField {
	key := ""
	if _, rest, ok := strings.Cut(h.Get("Authorization"), " "); ok {
		key = rest
	}
	perHop := h.Values("Connection")
	return filterHeader(h, func(name string) bool {
		if slices.Contains(withheldHeaders, name) || slices.ContainsFunc(perHop, func(v string) bool { return strings.EqualFold(v, name) }) {
			return false
		}
		return key == "" || !slices.ContainsFunc(h.Values(name), func(v string) bool { return strings.Contains(v, key) })
	})
}

func filterHeader(h http.Header, keep func(name string) bool) []boragewick.HeaderField {
	var list []boragewick.HeaderField
	for name, values := range h {
		if !keep(name) {
			continue
		}
		for _, v := range values {
			list = append(list, boragewick.HeaderField{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(list, func(a, b boragewick.HeaderField) int { return strings.Compare(a.Name, b.Name) })
	return list
}
