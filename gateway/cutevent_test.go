package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestCutEventTellsOfChange guards against a run that goes on with the older weights from memory of
// which a part was made on newer ones: the event that told of the change was cut off.
func TestCutEventTellsOfChange(t *testing.T) {
	const cut = "weights: 2\nid: 2\nda"
	const chunks = "Id: one\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n22\r\n" + event1 + cut + "\r\n"
	tests := map[string]struct{ leaving, tokens string }{
		"copy":   {"Leaving: 1\r\n", "9200,56"},
		"backup": {"", "800,290"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			route := boragewick.HostRoute{Kind: boragewick.Streaming, Attempts: 1, SessionAffinity: true}
			sequence := firstThen(raw("HTTP/1.1 200 OK\r\n"+test.leaving+chunks), raw(streamHead+event3))
			g := newTestGateway(t, route, nil, []script{sequence}, []script{sequence})
			g.Mover = &answeringMover{answers: []moveAnswer{{after: 100 * time.Millisecond, copy: "copy"}}}
			_, got, _, err := g.send(t, "/r/x", func(r *http.Request) { r.Header.Set("Tokens", test.tokens) })
			if err == nil || g.totalRequests() != 1 {
				t.Errorf("the caller got %q, %v after %d requests", got, err, g.totalRequests())
			}
		})
	}
}
