package endpointhttp

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/boragewick/boragewick"
)

func TestRequestHeader(t *testing.T) {
	tests := map[string]struct {
		sent []boragewick.HeaderField
		want http.Header
	}{
		"nothing":                      {nil, http.Header{}},
		"field of the request":         {[]boragewick.HeaderField{{Name: "content-type", Value: "a/b"}}, http.Header{"Content-Type": {"a/b"}}},
		"twice":                        {[]boragewick.HeaderField{{Name: "X-A", Value: "1"}, {Name: "x-a", Value: "2"}}, http.Header{"X-A": {"1", "2"}}},
		"idempotency key":              {[]boragewick.HeaderField{{Name: "Idempotency-Key", Value: "k"}}, http.Header{"Idempotency-Key": {"k"}}},
		"bearer key":                   {[]boragewick.HeaderField{{Name: "authorization", Value: "Bearer k"}}, http.Header{}},
		"other credential fields":      {[]boragewick.HeaderField{{Name: "x-api-key", Value: "k"}, {Name: "API-Key", Value: "k"}, {Name: "Cookie", Value: "k"}, {Name: "Proxy-Authorization", Value: "k"}}, http.Header{}},
		"hop by hop":                   {[]boragewick.HeaderField{{Name: "TE", Value: "trailers"}, {Name: "Upgrade", Value: "x"}, {Name: "Transfer-Encoding", Value: "chunked"}}, http.Header{}},
		"listed in Connection":         {[]boragewick.HeaderField{{Name: "X-Hop", Value: "1"}, {Name: "connection", Value: "close, x-hop"}}, http.Header{}},
		"Content-Length, Host, Expect": {[]boragewick.HeaderField{{Name: "Content-Length", Value: "9"}, {Name: "Host", Value: "h"}, {Name: "Expect", Value: "100-continue"}}, http.Header{}},
		"request ID of the caller":     {[]boragewick.HeaderField{{Name: "x-request-id", Value: "forged"}}, http.Header{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.want.Set(HeaderRequestID, "req_a")
			got := RequestHeader(&boragewick.Request{ID: "req_a", Header: tt.sent})
			if fmt.Sprint(got) != fmt.Sprint(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestAnswerHeader(t *testing.T) {
	got := AnswerHeader(http.Header{
		"X-B": {"1", "2"}, "Content-Type": {"a/b"}, "Connection": {"close"}, "Keep-Alive": {"1"}, "Set-Cookie": {"s"},
	})
	want := []boragewick.HeaderField{{Name: "Content-Type", Value: "a/b"}, {Name: "X-B", Value: "1"}, {Name: "X-B", Value: "2"}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
