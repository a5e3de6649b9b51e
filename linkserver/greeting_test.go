package linkserver_test

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/greeting"
)

func TestGreetingNegotiation(t *testing.T) {
	valid := greeting.New(boragewick.Hello{Instance: "r1"}, boragewick.LinkSettings{}.WithDefaults())
	modified := func(f func(g *greeting.Greeting)) greeting.Greeting {
		g := valid
		f(&g)
		return g
	}
	tests := map[string]struct {
		greeting greeting.Greeting
		want     error
	}{
		"same version":    {valid, nil},
		"one newer":       {modified(func(g *greeting.Greeting) { g.Version++ }), nil},
		"too new":         {modified(func(g *greeting.Greeting) { g.Version++; g.OldestVersion = g.Version }), boragewick.ErrProtocol},
		"too old":         {modified(func(g *greeting.Greeting) { g.Version, g.OldestVersion = 0, 0 }), boragewick.ErrProtocol},
		"unknown session": {modified(func(g *greeting.Greeting) { g.Session, g.Received = "ses_x", 9 }), nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{})
				defer s.close()
				conn, err := s.net.Dial(t.Context(), addr)
				if err != nil {
					t.Fatal(err)
				}
				if err := tt.greeting.Send(conn); err != nil {
					t.Fatal(err)
				}
				got, err := greeting.Recv(conn)
				if !errors.Is(err, tt.want) || err == nil && (got.Session == "" || got.Received != 0) {
					t.Errorf("answer %+v, error %v", got, err)
				}
			})
		})
	}
}

func TestSessionResumeRequiresSameHello(t *testing.T) {
	tests := map[string]struct {
		hello   boragewick.Hello
		resumed bool
	}{
		"same process":     {boragewick.Hello{Instance: "r1", Incarnation: "inc_1"}, true},
		"restarted":        {boragewick.Hello{Instance: "r1", Incarnation: "inc_2"}, false},
		"another instance": {boragewick.Hello{Instance: "r2", Incarnation: "inc_1"}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSetup(boragewick.LinkSettings{})
				defer s.close()
				first := s.handshake(t, tests["same process"].hello, "")
				again := s.handshake(t, tt.hello, first)
				if (again == first) != tt.resumed {
					t.Errorf("session %s after %s", again, first)
				}
			})
		})
	}
}

// handshake dials, exchanges greetings and returns the session that the server
// names.
func (s *setup) handshake(t *testing.T, h boragewick.Hello, resume boragewick.ID) boragewick.ID {
	conn, err := s.net.Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	g := greeting.New(h, boragewick.LinkSettings{}.WithDefaults())
	g.Session = resume
	if err := g.Send(conn); err != nil {
		t.Fatal(err)
	}
	got, err := greeting.Recv(conn)
	if err != nil {
		t.Fatal(err)
	}
	return got.Session
}
