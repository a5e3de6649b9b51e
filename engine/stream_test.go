package engine

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/standin/modelengine"
)

// TestOtherEngines covers answers of engines that behave differently from the
// stand-in: without event numbers or token counts, with comments, and malformed ones.
func TestOtherEngines(t *testing.T) {
	const event, done = "data: {\"id\":\"req_a\"}\n\n", "data: [DONE]\n\n"
	tests := map[string]struct {
		body   string
		whole  bool
		status int
		want   error
		end    boragewick.End
	}{
		"no numbers":              {body: event + event + done, end: boragewick.End{OutputTokens: 2}},
		"carriage returns":        {body: strings.ReplaceAll(event+event+done, "\n", "\r\n"), end: boragewick.End{OutputTokens: 2}},
		"comments between":        {body: ": ping\n\n" + event + ": ping\n\n" + done, end: boragewick.End{OutputTokens: 1}},
		"counts":                  {body: "data: {\"id\":\"req_a\",\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":4}}\n\n" + done, end: boragewick.End{PromptTokens: 9, OutputTokens: 4}},
		"a gap in the numbers":    {body: "id: 1\n" + event + "id: 3\n" + event + done, want: boragewick.ErrEndpointFailed},
		"a number twice":          {body: "id: 1\n" + event + "id: 1\n" + event + done, want: boragewick.ErrEndpointFailed},
		"another ID midway":       {body: event + strings.Replace(event, "req_a", "req_b", 1) + done, want: boragewick.ErrWrongAnswer},
		"no ID":                   {body: "data: {}\n\n" + done, want: boragewick.ErrWrongAnswer},
		"an error event":          {body: event + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n" + done, want: boragewick.ErrEndpointFailed},
		"not JSON":                {body: "data: {\n\n" + done, want: boragewick.ErrEndpointFailed},
		"an endless event":        {body: "data: " + strings.Repeat("a", maxEventBytes+1), want: boragewick.ErrEndpointFailed},
		"whole without counts":    {whole: true, body: `{"id":"req_a"}      `, end: boragewick.End{OutputTokens: 5}},
		"whole for another":       {whole: true, body: `{"id":"req_b"}`, want: boragewick.ErrWrongAnswer},
		"whole but cut":           {whole: true, body: `{"id":"req_a"`, want: boragewick.ErrEndpointFailed},
		"the request is at fault": {whole: true, status: 400, body: `{"error":{"message":"no such field"}}`},
		"overloaded":              {whole: true, status: 429, body: `{}`, want: boragewick.ErrOverloaded},
		"broken":                  {whole: true, status: 500, body: `oops`, want: boragewick.ErrEndpointFailed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					if !strings.HasPrefix(r.URL.Path, "/v1/") {
						http.NotFound(w, r)
						return
					}
					if !tt.whole {
						w.Header().Set("Content-Type", "text/event-stream")
					}
					if tt.status != 0 {
						w.WriteHeader(tt.status)
					}
					_, _ = fmt.Fprint(w, tt.body)
				}), &modelengine.Engine{})
				_, end, err := collect(t.Context(), t, c, request("req_a", !tt.whole))
				if tt.want == nil && (err != nil || *end != tt.end) {
					t.Errorf("got %+v, %v, want %+v", end, err, tt.end)
				}
				if tt.want != nil && (!errors.Is(err, tt.want) || end != nil) {
					t.Errorf("got %+v, %v, want %v", end, err, tt.want)
				}
			})
		})
	}
}
