package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/prompt"
)

const (
	// defaultMaxTokens is the maximum output of a request that sets none.
	defaultMaxTokens = 1024
	// maxTokensLimit is the largest maximum output that a request may set.
	maxTokensLimit = 1 << 20
	// maxChoices is the largest n or best_of that a request may set.
	maxChoices = 16
)

// idempotencyHeader carries the caller's key for a request that must run only
// once.
const idempotencyHeader = "Idempotency-Key"

// anonymousWorkspace is the workspace of callers without a key on open routes.
var anonymousWorkspace = &boragewick.Object{Kind: boragewick.KindWorkspace, Workspace: &boragewick.Workspace{Weight: 1}}

// choices holds the fields of a model request that multiply its output.
type choices struct {
	N      uint64 `json:"n"`
	BestOf uint64 `json:"best_of"`
}

// parseModelRequest parses the body of a model request. The returned body always
// sets max_tokens, so that the engine generates no more tokens than are reserved.
func parseModelRequest(body []byte) (*prompt.Prompt, []byte, error) {
	p, err := prompt.Parse(body)
	if err != nil {
		return nil, nil, err
	}
	if p.Model == "" {
		return nil, nil, errors.Wrap(boragewick.ErrMalformed, "body: model is missing")
	}
	if p.MaxTokens > maxTokensLimit {
		return nil, nil, errors.Wrapf(boragewick.ErrMalformed, "body: max_tokens is above %d", maxTokensLimit)
	}
	var counts choices
	if err := json.Unmarshal(body, &counts); err != nil {
		return nil, nil, errors.Wrapf(boragewick.ErrMalformed, "body: %s", err)
	}
	if counts.N > maxChoices || counts.BestOf > maxChoices {
		return nil, nil, errors.Wrapf(boragewick.ErrMalformed, "body: n or best_of is above %d", maxChoices)
	}
	if p.MaxTokens == 0 {
		p.MaxTokens = defaultMaxTokens
		if body, err = withMaxTokens(body, p.MaxTokens); err != nil {
			return nil, nil, err
		}
	}
	p.MaxTokens *= max(1, counts.N, counts.BestOf)
	return p, body, nil
}

func withMaxTokens(body []byte, n uint64) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrapf(boragewick.ErrMalformed, "body: %s", err)
	}
	limit, err := json.Marshal(n)
	if err != nil {
		return nil, err
	}
	fields["max_tokens"] = limit
	return json.Marshal(fields)
}

func (c *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errors.Wrapf(boragewick.ErrTooLarge, "body above %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, errors.Wrapf(boragewick.ErrMalformed, "body: %s", err)
	}
	return body, nil
}

// authenticate returns the workspace of the request's key, or anonymousWorkspace
// if the request has no key and the route is open.
func (c *Handler) authenticate(resp *response, r *http.Request, findRoute func() (*boragewick.Object, error)) (*boragewick.Object, error) {
	header := r.Header.Get("Authorization")
	if header == "" {
		if o, err := findRoute(); err == nil && o.Route.Open {
			return anonymousWorkspace, nil
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
	resp.keyHash = hash
	return c.workspaceOfKey(r.Context(), hash)
}

func (c *Handler) newRequest(id boragewick.RequestID, r *http.Request, workspace, route *boragewick.Object, body []byte) *boragewick.Request {
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
		Deadline:  c.Clock.Now().Add(c.FirstTokenTimeout),
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

// withheldHeaders are never forwarded from a caller to an endpoint: they hold the
// caller's credentials, apply to a single connection only or, like the request
// ID, are set by the router.
var withheldHeaders = []string{
	"Authorization", "Cookie", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Proxy-Connection",
	"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	requestIDHeader,
}

// modelHeaders are the only headers forwarded to a model engine.
var modelHeaders = []string{"Content-Type", "Accept"}

func modelHeader(h http.Header) []boragewick.HeaderField {
	return filterHeader(h, func(name string) bool { return slices.Contains(modelHeaders, name) })
}

func plainHeader(h http.Header) []boragewick.HeaderField {
	key := ""
	if _, rest, ok := strings.Cut(h.Get("Authorization"), " "); ok {
		key = rest
	}
	hopByHop := h.Values("Connection")
	return filterHeader(h, func(name string) bool {
		if slices.Contains(withheldHeaders, name) || slices.ContainsFunc(hopByHop, func(v string) bool { return strings.EqualFold(v, name) }) {
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
