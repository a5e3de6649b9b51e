package plain

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/standin/pipenet"
	"github.com/boragewick/boragewick/standin/plainservice"
)

func TestRunFaults(t *testing.T) {
	past := time.Unix(0, 0)
	tests := map[string]struct {
		fault      string
		dial       func(ctx context.Context, network, address string) (net.Conn, error)
		delay      time.Duration
		deadline   time.Time
		repeatable bool
		want       error
		notRun     bool
		runs       int
	}{
		"none":                     {runs: 1},
		"repeatable":               {repeatable: true, runs: 1},
		"dies after running":       {fault: plainservice.FaultDie, want: boragewick.ErrEndpointFailed, runs: 1},
		"dies, repeatable":         {fault: plainservice.FaultDie, repeatable: true, want: boragewick.ErrEndpointFailed, runs: 1},
		"refuses":                  {fault: plainservice.FaultRefuse, runs: 0},
		"truncates its answer":     {fault: plainservice.FaultTruncate, want: boragewick.ErrEndpointFailed, runs: 1},
		"hangs":                    {delay: time.Minute, want: boragewick.ErrTimeout, runs: 1},
		"unreachable":              {dial: refuseDial, want: boragewick.ErrEndpointFailed, notRun: true},
		"past its deadline":        {deadline: past, want: boragewick.ErrTimeout, notRun: true},
		"past, though repeatable":  {deadline: past, repeatable: true, want: boragewick.ErrTimeout, notRun: true},
		"deadline during the call": {deadline: past, delay: time.Second, runs: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &plainservice.Service{Delay: tt.delay}
				l := &pipenet.Listener{}
				server := &http.Server{Handler: s}
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()
				c := &Client{}
				c.Endpoint, c.Dial = netip.MustParseAddrPort("127.0.0.1:1"), l.Dial
				c.FirstByteTimeout = 10 * time.Second
				if tt.dial != nil {
					c.Dial = tt.dial
				}
				if tt.fault != "" {
					if err := s.Inject(tt.fault, 1); err != nil {
						t.Fatal(err)
					}
				}
				r := &boragewick.Request{
					ID: "req_a", Method: http.MethodPost, Path: "/payouts?x=1", Body: []byte("pay"),
					Header:   []boragewick.HeaderField{{Name: "Idempotency-Key", Value: "k"}},
					Deadline: tt.deadline,
				}
				if !tt.repeatable {
					r.Claim = &boragewick.Claim{}
				}
				if name == "deadline during the call" {
					r.Deadline = time.Now().Add(tt.delay / 2)
				}
				text, err := run(t, c, r)
				if !errors.Is(err, tt.want) || errors.Is(err, boragewick.ErrNotRun) != tt.notRun {
					t.Errorf("got %v, want %v and not run %t", err, tt.want, tt.notRun)
				}
				if tt.want == nil && tt.runs == 1 && !strings.Contains(text, `"path":"/payouts?x=1","run":1,"body":"pay"`) {
					t.Errorf("answer %s", text)
				}
				time.Sleep(tt.delay)
				if n := s.Ledger()["k"]; n != tt.runs {
					t.Errorf("ran %d times, want %d", n, tt.runs)
				}
			})
		})
	}
}

func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}

func run(t *testing.T, c *Client, r *boragewick.Request) (string, error) {
	t.Helper()
	var text strings.Builder
	ended := false
	err := c.Run(t.Context(), r, func(ch boragewick.Chunk) error {
		text.Write(ch.Data)
		ended = ended || ch.End != nil
		return nil
	})
	if ended != (err == nil) {
		t.Errorf("end %t with error %v", ended, err)
	}
	return text.String(), err
}
