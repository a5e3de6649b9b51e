package tcp

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

var errRefused = errors.New("refused")

// machine is a remote that drops the packets of attempts before it is up.
type machine struct {
	mu       sync.Mutex
	upAt     time.Time
	latency  time.Duration
	refuses  bool
	attempts int
	open     int
}

// countedConn counts the connections that are open.
type countedConn struct {
	net.Conn
	m *machine
}

func (c countedConn) Close() error {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.open--
	return nil
}

func (m *machine) connect(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	m.mu.Lock()
	m.attempts++
	dropped := time.Now().Before(m.upAt)
	m.mu.Unlock()
	if dropped {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(m.latency)
	if m.refuses {
		return nil, errRefused
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open++
	return countedConn{m: m}, nil
}

// TestDialToStartingMachine guards against a dial that waits for a second, until the kernel sends
// its first packet again, as the machine was not up yet: after a loss of power control replicas
// and routers connected to each other a second late.
func TestDialToStartingMachine(t *testing.T) {
	tests := map[string]struct {
		upAfter, latency, timeout time.Duration
		refuses                   bool
		took                      time.Duration
		err                       error
		attempts                  int
	}{
		"up":                          {0, time.Millisecond, time.Second, false, time.Millisecond, nil, 1},
		"up later":                    {300 * time.Millisecond, time.Millisecond, time.Second, false, 401 * time.Millisecond, nil, 3},
		"far away":                    {0, 350 * time.Millisecond, time.Second, false, 350 * time.Millisecond, nil, 2},
		"refuses":                     {0, time.Millisecond, time.Second, true, time.Millisecond, errRefused, 1},
		"refuses later":               {300 * time.Millisecond, 0, time.Second, true, 400 * time.Millisecond, errRefused, 3},
		"down":                        {time.Hour, 0, 700 * time.Millisecond, false, 700 * time.Millisecond, context.DeadlineExceeded, 4},
		"down, with a late deadline":  {time.Hour, 0, time.Minute, false, time.Minute, context.DeadlineExceeded, maxAttempts},
		"far away, up after attempts": {150 * time.Millisecond, 250 * time.Millisecond, time.Second, false, 450 * time.Millisecond, nil, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				m := &machine{upAt: start.Add(test.upAfter), latency: test.latency, refuses: test.refuses}
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				conn, err := (&Dialer{connect: m.connect}).Dial(ctx, netip.AddrPort{})
				if took := time.Since(start); took != test.took || !errors.Is(err, test.err) || (conn == nil) != (test.err != nil) {
					t.Errorf("took %s, error %v", took, err)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				want := 1
				if test.err != nil {
					want = 0
				}
				if m.attempts != test.attempts || m.open != want {
					t.Errorf("%d attempts, %d connections open", m.attempts, m.open)
				}
			})
		})
	}
}

// TestDial guards against a connection that isn't made, or that doesn't come from LocalAddr.
func TestDial(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	local := netip.MustParseAddr("127.0.0.1")
	conn, err := (&Dialer{LocalAddr: local}).Dial(t.Context(), l.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	if got := conn.LocalAddr().(*net.TCPAddr).AddrPort().Addr(); got != local {
		t.Errorf("from %s", got)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}
