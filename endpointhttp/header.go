package endpointhttp

import (
	"net/http"
	"slices"
	"strings"

	"github.com/boragewick/boragewick"
)

// HeaderRequestID carries the request's ID to the endpoint and back.
const HeaderRequestID = "X-Request-Id"

// withheldHeaders lists the fields that are never forwarded to an endpoint:
// callers' credentials and fields that belong to one connection.
var withheldHeaders = map[string]bool{
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

// hopByHopHeaders lists the fields that belong to one connection.
var hopByHopHeaders = map[string]bool{
	"Connection":         true,
	"Keep-Alive":         true,
	"Proxy-Authenticate": true,
	"Proxy-Connection":   true,
	"Te":                 true,
	"Trailer":            true,
	"Transfer-Encoding":  true,
	"Upgrade":            true,
}

// RequestHeader returns the header with which a request is sent to an endpoint.
// It contains no caller's key and no field that belongs to one connection.
func RequestHeader(r *boragewick.Request) http.Header {
	h := make(http.Header, len(r.Header)+1)
	hopFields := connectionFields(r.Header)
	for _, f := range r.Header {
		name := http.CanonicalHeaderKey(f.Name)
		if withheldHeaders[name] || hopByHopHeaders[name] || hopFields[name] {
			continue
		}
		h.Add(name, f.Value)
	}
	h.Set(HeaderRequestID, string(r.ID))
	return h
}

// AnswerHeader returns the fields of an answer that are returned to the caller,
// sorted by name.
func AnswerHeader(h http.Header) []boragewick.HeaderField {
	fields := make([]boragewick.HeaderField, 0, len(h))
	for name, values := range h {
		if hopByHopHeaders[name] || name == "Set-Cookie" {
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

// connectionFields returns the names listed in the Connection fields.
func connectionFields(fields []boragewick.HeaderField) map[string]bool {
	var listed map[string]bool
	for _, f := range fields {
		if http.CanonicalHeaderKey(f.Name) != "Connection" {
			continue
		}
		for name := range strings.SplitSeq(f.Value, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
