package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/standin/modelengine"
	"github.com/boragewick/boragewick/standin/pipenet"
)

var address = netip.MustParseAddrPort("127.0.0.1:1")

// newTestClient serves the handler on in-memory connections until the test ends and
// returns a client for it.
func newTestClient(t *testing.T, h http.Handler, e *modelengine.Engine) *Client {
	t.Helper()
	l := &pipenet.Listener{}
	server := &http.Server{Handler: h, ConnContext: e.ConnContext}
	go func() { _ = server.Serve(l) }()
	c := &Client{}
	c.Endpoint, c.Dial = address, l.Dial
	c.FirstByteTimeout, c.ReadTimeout = 20*time.Second, 2*time.Second
	t.Cleanup(func() {
		_ = server.Close()
		_ = e.Close()
	})
	return c
}

func request(id string, stream bool) *boragewick.Request {
	body := `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 200) + `"}]`
	if stream {
		body += `,"stream":true`
	}
	return &boragewick.Request{
		ID: boragewick.RequestID(id), Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(body + "}"),
		Header: []boragewick.HeaderField{
			{Name: "authorization", Value: "Bearer secret"},
			{Name: "X-Api-Key", Value: "secret"},
			{Name: "x-prefix-blocks", Value: "AAAAAAAAAAA="},
		},
		Blocks: []boragewick.BlockHash{1, 2, 3},
		Model:  boragewick.Model{Name: "m", Weights: "w1"},
	}
}

// collect runs the request and returns the body and the end of its answer.
func collect(ctx context.Context, t *testing.T, c *Client, r *boragewick.Request) (string, *boragewick.End, error) {
	t.Helper()
	var text strings.Builder
	var end *boragewick.End
	number := uint64(0)
	err := c.Run(ctx, r, func(ch boragewick.Chunk) error {
		number++
		if ch.Number != number || ch.Request != r.ID || (ch.Head != nil) != (number == 1) || end != nil {
			t.Errorf("chunk %d of %s out of place, want number %d", ch.Number, ch.Request, number)
		}
		end = ch.End
		text.Write(ch.Data)
		return nil
	})
	return text.String(), end, err
}

// generatedText extracts the generated text from the body of an answer, streamed or
// not.
func generatedText(answer string) string {
	var text strings.Builder
	for line := range strings.Lines(answer) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok && !strings.HasPrefix(line, "{") {
			continue
		}
		if !ok {
			data = line
		}
		var c struct {
			Choices []struct {
				Delta, Message struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
			text.WriteString(c.Choices[0].Delta.Content + c.Choices[0].Message.Content)
		}
	}
	return text.String()
}

func TestRunFaults(t *testing.T) {
	tests := map[string]struct {
		whole bool
		fault string
		n     int
		want  error
	}{
		"none":                  {},
		"none whole":            {whole: true},
		"cut once":              {fault: modelengine.FaultAbortStream, n: 1},
		"cut whole":             {whole: true, fault: modelengine.FaultAbortStream, n: 1},
		"cut always":            {fault: modelengine.FaultAbortStream, n: 100, want: boragewick.ErrEndpointFailed},
		"truncated once":        {fault: modelengine.FaultTruncate, n: 1},
		"truncated always":      {fault: modelengine.FaultTruncate, n: 100, want: boragewick.ErrEndpointFailed},
		"truncated whole":       {whole: true, fault: modelengine.FaultTruncate, n: 100, want: boragewick.ErrEndpointFailed},
		"crossed once":          {fault: modelengine.FaultCrossedAnswer, n: 1},
		"crossed whole":         {whole: true, fault: modelengine.FaultCrossedAnswer, n: 1},
		"crossed always":        {fault: modelengine.FaultCrossedAnswer, n: 100, want: boragewick.ErrWrongAnswer},
		"crossed whole, always": {whole: true, fault: modelengine.FaultCrossedAnswer, n: 100, want: boragewick.ErrWrongAnswer},
		"late":                  {fault: modelengine.FaultLate, n: 1},
		"late beyond the limit": {fault: modelengine.FaultLate, n: 100, want: boragewick.ErrTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &modelengine.Engine{LateDelay: 21 * time.Second}
				headers := make(chan http.Header, 100)
				c := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					headers <- r.Header.Clone()
					e.ServeHTTP(w, r)
				}), e)
				healthy, _, err := collect(t.Context(), t, c, request("req_a", !tt.whole))
				if err != nil {
					t.Fatal(err)
				}
				e2 := &modelengine.Engine{LateDelay: 21 * time.Second}
				c2 := newTestClient(t, e2, e2)
				if tt.n > 0 {
					if err := e2.Inject(tt.fault, tt.n); err != nil {
						t.Fatal(err)
					}
				}
				got, end, err := collect(t.Context(), t, c2, request("req_a", !tt.whole))
				switch {
				case tt.want == nil && (err != nil || end == nil || generatedText(got) != generatedText(healthy)):
					t.Errorf("got %q, %v, want %q", generatedText(got), err, generatedText(healthy))
				case tt.want != nil && (!errors.Is(err, tt.want) || end != nil):
					t.Errorf("got end %v and %v, want %v", end, err, tt.want)
				case tt.want != nil && errors.Is(err, boragewick.ErrNotRun):
					t.Error("a request that may have run is marked not run")
				}
				if strings.Contains(got, "crossed") {
					t.Errorf("another request's answer got through: %s", got)
				}
				h := <-headers
				if h.Get("Authorization") != "" || h.Get("X-Api-Key") != "" || h.Get(headerBlocks) != "AQAAAAAAAAACAAAAAAAAAAMAAAAAAAAA" {
					t.Errorf("header %v", h)
				}
			})
		})
	}
}

func TestRunUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &modelengine.Engine{}
		c := newTestClient(t, e, e)
		for _, want := range []uint64{0, 192} {
			_, end, err := collect(t.Context(), t, c, request(string(boragewick.NewRequestID()), true))
			if err != nil || end.PromptTokens != 250 || end.CachedTokens != want || end.OutputTokens != 5 {
				t.Errorf("end %+v, %v, want %d cached", end, err, want)
			}
		}
	})
}

// TestRunDuringFault injects a fault, delays the receiver or cancels the request
// after the first token.
func TestRunDuringFault(t *testing.T) {
	tests := map[string]struct {
		fault func(e *modelengine.Engine, cancel context.CancelFunc)
		want  error
	}{
		"silence":         {func(e *modelengine.Engine, _ context.CancelFunc) { _ = e.Inject(modelengine.FaultSilence, 1) }, nil},
		"crash":           {func(e *modelengine.Engine, _ context.CancelFunc) { _ = e.Inject(modelengine.FaultCrash, 1) }, boragewick.ErrEndpointFailed},
		"a slow receiver": {func(*modelengine.Engine, context.CancelFunc) { time.Sleep(time.Minute) }, nil},
		"silence twice": {func(e *modelengine.Engine, _ context.CancelFunc) {
			_ = e.Inject(modelengine.FaultSilence, 1)
			time.AfterFunc(3*time.Second, func() { _ = e.Inject(modelengine.FaultSilence, 1) })
		}, nil},
		"cancel": {func(_ *modelengine.Engine, cancel context.CancelFunc) { cancel() }, boragewick.ErrCanceled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &modelengine.Engine{}
				c := newTestClient(t, e, e)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := request("req_a", true)
				var text strings.Builder
				err := c.Run(ctx, r, func(ch boragewick.Chunk) error {
					text.Write(ch.Data)
					if ch.Number == 2 {
						tt.fault(e, cancel)
					}
					return nil
				})
				if !errors.Is(err, tt.want) {
					t.Fatalf("got %v, want %v", err, tt.want)
				}
				if n := strings.Count(generatedText(text.String()), " "); tt.want == nil && n != 5 {
					t.Errorf("%d tokens: %s", n, text.String())
				}
				load, err := c.Load(t.Context())
				if err != nil || load.Running != 0 {
					t.Errorf("load %+v, %v after the answer", load, err)
				}
			})
		})
	}
}

func TestRunRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &modelengine.Engine{Models: []boragewick.Model{{Name: "m", Weights: "w2"}}}
		c := newTestClient(t, e, e)
		_, _, err := collect(t.Context(), t, c, request("req_a", true))
		if !errors.Is(err, boragewick.ErrNoEndpoint) || !errors.Is(err, boragewick.ErrNotRun) {
			t.Errorf("older weights: %v", err)
		}
		expired := request("req_b", true)
		expired.Deadline = time.Now()
		if _, _, err := collect(t.Context(), t, c, expired); !errors.Is(err, boragewick.ErrTimeout) || !errors.Is(err, boragewick.ErrNotRun) {
			t.Errorf("past the deadline: %v", err)
		}
		unreachable := &Client{}
		unreachable.Endpoint = address
		unreachable.Dial = (&pipenet.Listener{}).Dial
		unreachable.FirstByteTimeout = time.Second
		if _, _, err := collect(t.Context(), t, unreachable, request("req_c", true)); !errors.Is(err, boragewick.ErrNotRun) {
			t.Errorf("unreachable: %v", err)
		}
	})
}
