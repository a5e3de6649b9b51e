package upstream

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// TestOddHeads guards against texts that end the head of a request: what followed an id
// with a line break became the body of an unrepeatable request.
func TestOddHeads(t *testing.T) {
	requests := map[string]Request{
		"line break in a value":  {Method: "GET", URI: "/", Host: "h", Header: http.Header{"A": {"i-1\n"}}},
		"another header":         {Method: "GET", URI: "/", Host: "h", Header: http.Header{"A": {"i-1\r\nB: c"}}},
		"zero byte":              {Method: "GET", URI: "/", Host: "h", Header: http.Header{"A": {"\x00"}}},
		"line break in a name":   {Method: "GET", URI: "/", Host: "h", Header: http.Header{"A\r\nB": {"c"}}},
		"space in a name":        {Method: "GET", URI: "/", Host: "h", Header: http.Header{"A B": {"c"}}},
		"space in the path":      {Method: "GET", URI: "/a b", Host: "h"},
		"line break in the path": {Method: "GET", URI: "/\r\nB: c", Host: "h"},
		"line break in the host": {Method: "GET", URI: "/", Host: "h\r\nB: c"},
		"space in the method":    {Method: "GET /x", URI: "/", Host: "h"},
	}
	for name, r := range requests {
		t.Run(name, func(t *testing.T) {
			_, err := (&Client{}).Send(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), &r)
			if !errors.Is(err, boragewick.ErrMalformed) || !errors.Is(err, ErrNotSent) {
				t.Errorf("error %v", err)
			}
		})
	}
	sound := Request{Method: "POST", URI: "/\xff?q=é", Host: "h:80", Header: http.Header{"A": {"", "a b\tc", "\xff"}}}
	if err := sound.check(); err != nil {
		t.Errorf("a sound head: %v", err)
	}
}
