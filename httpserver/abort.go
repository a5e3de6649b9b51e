package httpserver

import (
	"net"
	"net/http"
)

// resetAborted returns a handler that resets the connection if h panics in a request
// of HTTP/1.0. Its response may have no length, and the end of the connection would
// make it look complete.
func resetAborted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		whole := false
		defer func() {
			if !whole {
				reset(w)
			}
		}()
		h.ServeHTTP(w, r)
		whole = true
	})
}

// reset closes the connection of the response without a regular end.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // already taken over by the handler
	}
	for {
		above, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = above.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
