package endpointhttp

import (
	"net/http"
	"slices"
	"strings"

	"github.com/boragewick/boragewick"
)

// HeaderRequestID carries the request's ID to the endpoint and back.
const HeaderRequestID = "X-Request-Id"

// withheld lists the fields that never reach an endpoint: callers' secrets and
// those that belong to one connection.
var withheld = map[string]bool{
	"Authorization":       true,
	"Proxy-Authorization": true,
	"Api-Key":             true,
	"X-Api-Key":           true,
	"Cookie":              true,
	"Accept-Encoding":     true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
}

// hopByHop lists the fields that belong to one connection.
var hopByHop = map[string]bool{
	"Connection":         true,
	"Keep-Alive":         true,
	"Proxy-Authenticate": true,
	"Proxy-Connection":   true,
	"Te":                 true,
	"Trailer":            true,
	"Transfer-Encoding":  true,
	"Upgrade":            true,
}

// RequestHeader returns the header under which a request goes to an endpoint.
// It holds no caller's key and no field that belongs to one connection.
func RequestHeader(r *boragewick.Request) http.Header {
	h := make(http.Header, len(r.Header)+1)
	dropped := named(r.Header)
	for _, f := range r.Header {
		name := http.CanonicalHeaderKey(f.Name)
		if withheld[name] || hopByHop[name] || dropped[name] {
			continue
		}
		h.Add(name, f.Value)
	}
	h.Set(HeaderRequestID, string(r.ID))
	return h
}

// AnswerHeader returns the fields of an answer that go back to the caller, in
// the order of their names.
func AnswerHeader(h http.Header) []boragewick.HeaderField {
	fields := make([]boragewick.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || name == "Set-Cookie" {
			continue
		}
		for _, v := range values {
			fields = append(fields, boragewick.HeaderField{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(fields, func(a, b boragewick.HeaderField) int {
		return strings.Compare(a.Name, b.Name)
	})
	return fields
}

// named returns the fields that the Connection field names.
func named(fields []boragewick.HeaderField) map[string]bool {
	var dropped map[string]bool
	for _, f := range fields {
		if http.CanonicalHeaderKey(f.Name) != "Connection" {
			continue
		}
		for name := range strings.SplitSeq(f.Value, ",") {
			if dropped == nil {
				dropped = map[string]bool{}
			}
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return dropped
}
