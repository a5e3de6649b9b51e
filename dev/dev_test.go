package dev

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/operatorclient"
)

// system is a running Dev.
type system struct {
	*Dev
	connectionInfo
	t    *testing.T
	stop func()
}

// startSystem runs a Dev on the folder until stop is called.
func startSystem(t *testing.T, dir string) *system {
	t.Helper()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	lineReader, lineWriter := io.Pipe()
	s := &system{t: t, Dev: &Dev{Caller: anyPort, Operator: anyPort, Data: dir, Logger: log.NewNopLogger(), Out: lineWriter}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := s.Run(ctx)
		_ = lineWriter.CloseWithError(errors.CombineErrors(err, io.EOF))
		ended <- err
	}()
	s.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("run: %v", err)
		}
		ended <- nil
	}
	t.Cleanup(s.stop)
	line, err := bufio.NewReader(lineReader).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(line, &s.connectionInfo); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *system) client() *operatorclient.Client {
	return &operatorclient.Client{Base: s.connectionInfo.Operator, Token: s.OperatorToken}
}

// response is an HTTP response whose body has been read to its end.
type response struct {
	status int
	header http.Header
	text   string
}

// do sends a request and returns its answer.
func (s *system) do(method, path, key, body string, header ...string) response {
	s.t.Helper()
	r, err := http.NewRequest(method, s.connectionInfo.Caller+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response{w.StatusCode, w.Header, string(text)}
}

func (s *system) apply(intent string) boragewick.PlanReply {
	s.t.Helper()
	reply, err := apply(context.Background(), s.client(), []byte(intent))
	if err != nil {
		s.t.Fatal(err)
	}
	return reply
}

const chat = `{"model":"demo-model","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`

func TestStreamComplete(t *testing.T) {
	s := startSystem(t, t.TempDir())
	w := s.do("POST", "/v1/chat/completions", s.Key, chat)
	if w.status != http.StatusOK || !strings.HasSuffix(w.text, "data: [DONE]\n\n") {
		t.Fatalf("status %d, answer %q", w.status, w.text)
	}
	if n := strings.Count(w.text, `"content":`); n != 4 {
		t.Errorf("%d tokens, want 4", n)
	}
	if !strings.Contains(w.text, w.header.Get("X-Request-Id")) {
		t.Errorf("the answer lacks the request ID %s", w.header.Get("X-Request-Id"))
	}
}

func TestInvalidRequestsNotRun(t *testing.T) {
	s := startSystem(t, t.TempDir())
	reply := s.apply("[workspace /other]\n[rate /other/rate]\nworkspace = /other\ntokens_per_second = 100\nburst = 1000\n" +
		"[key /other/key]\nworkspace = /other\n[key /old/key]\nworkspace = /other\n" +
		"[route /demo/private]\nprefix = /private\npool = ledger\nworkspaces = /demo\n")
	foreign, withdrawn := reply.Keys[0].Secret, reply.Keys[1].Secret
	if reply.Keys[0].Names.Path != "/other/key" {
		foreign, withdrawn = withdrawn, foreign
	}
	s.apply("[key /old/key]\nremove = true\n")
	key := s.Key
	tests := map[string]struct {
		method, path, key, body string
		header                  []string
		status                  int
		code                    string
	}{
		"malformed JSON":     {"POST", "/v1/chat/completions", key, "{", nil, 400, "malformed"},
		"no messages":        {"POST", "/v1/chat/completions", key, `{"model":"demo-model"}`, nil, 400, "malformed"},
		"negative tokens":    {"POST", "/v1/chat/completions", key, `{"model":"demo-model","max_tokens":-1,"messages":[]}`, nil, 400, "malformed"},
		"too many choices":   {"POST", "/v1/chat/completions", key, `{"model":"demo-model","n":99,"messages":[]}`, nil, 400, "malformed"},
		"wrong method":       {"GET", "/v1/chat/completions", key, "", nil, 400, "malformed"},
		"body too large":     {"POST", "/v1/chat/completions", key, strings.Repeat(" ", 9<<20), nil, 413, "too_large"},
		"unknown model":      {"POST", "/v1/chat/completions", key, `{"model":"none","messages":[]}`, nil, 404, "unknown_model"},
		"unknown path":       {"POST", "/v1/none", key, "", nil, 404, "unknown_route"},
		"no route":           {"POST", "/none", key, "", nil, 404, "unknown_route"},
		"missing key":        {"POST", "/ledger/payouts", "", "x", nil, 401, "missing_key"},
		"malformed key":      {"POST", "/ledger/payouts", "bw_short", "x", nil, 401, "malformed_key"},
		"unknown key":        {"POST", "/ledger/payouts", boragewick.NewCallerKey(), "x", nil, 401, "unknown_key"},
		"withdrawn key":      {"POST", "/ledger/payouts", withdrawn, "x", nil, 401, "unknown_key"},
		"foreign key":        {"POST", "/private/payouts", foreign, "x", nil, 403, "forbidden_route"},
		"key in the URL":     {"POST", "/ledger/payouts?key=" + key, key, "x", nil, 400, "malformed"},
		"wrong scheme":       {"POST", "/ledger/payouts", "", "x", []string{"Authorization", "Basic abc"}, 401, "malformed_key"},
		"long idempotency":   {"POST", "/ledger/payouts", key, "x", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, "malformed"},
		"tokens above burst": {"POST", "/v1/chat/completions", foreign, strings.Replace(chat, ":4,", ":4000,", 1), nil, 429, "rate_exceeded"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := s.do(tt.method, tt.path, tt.key, tt.body, tt.header...)
			var f struct {
				Error struct {
					Code    string `json:"code"`
					Message string `json:"message"`
				} `json:"error"`
			}
			if err := json.Unmarshal([]byte(w.text), &f); err != nil {
				t.Fatalf("answer %q: %v", w.text, err)
			}
			if w.status != tt.status || f.Error.Code != tt.code {
				t.Errorf("got %d %s (%s), want %d %s", w.status, f.Error.Code, f.Error.Message, tt.status, tt.code)
			}
			if got := w.header.Get(boragewick.OutcomeHeader); got != string(boragewick.OutcomeNotRun) {
				t.Errorf("outcome %q, want not_run", got)
			}
			if tt.key != "" && strings.Contains(w.text, tt.key) {
				t.Error("the answer holds the key")
			}
		})
	}
	if n := len(s.ledger.Ledger()); n != 0 {
		t.Errorf("%d requests ran, want none", n)
	}
}

func TestRestartKeepsState(t *testing.T) {
	dir := t.TempDir()
	s := startSystem(t, dir)
	s.apply("[workspace /kept]\ncode = WS-2\n")
	key := s.Key
	s.stop()
	s = startSystem(t, dir)
	if s.Key != key {
		t.Error("the demo key has changed")
	}
	if _, err := s.client().Get(context.Background(), boragewick.KindWorkspace, "WS-2"); err != nil {
		t.Error(err)
	}
	if w := s.do("POST", "/v1/chat/completions", key, chat); w.status != http.StatusOK {
		t.Errorf("status %d: %s", w.status, w.text)
	}
}

func TestUnrepeatableRunsOnce(t *testing.T) {
	s := startSystem(t, t.TempDir())
	first := s.do("POST", "/ledger/payouts", s.Key, "17", "Idempotency-Key", "payout-17")
	if first.status != http.StatusOK {
		t.Fatalf("status %d: %s", first.status, first.text)
	}
	for range 3 {
		w := s.do("POST", "/ledger/payouts", s.Key, "17", "Idempotency-Key", "payout-17")
		if w.status != http.StatusOK || w.text != first.text {
			t.Errorf("resent: %d %q, want %q", w.status, w.text, first.text)
		}
	}
	if w := s.do("POST", "/ledger/payouts", s.Key, "18", "Idempotency-Key", "payout-17"); w.status != http.StatusUnprocessableEntity {
		t.Errorf("the same key with another body: status %d", w.status)
	}
	if n := s.ledger.Ledger()["payout-17"]; n != 1 {
		t.Errorf("the payout ran %d times", n)
	}
}
