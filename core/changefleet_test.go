package core

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/link"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/memconn"
	"github.com/boragewick/boragewick/mirror"
	"github.com/boragewick/boragewick/peers"
	"github.com/boragewick/boragewick/registry"
)

// packetBytes is how much of a message a slowLink carries at once.
const packetBytes = 8 << 10

// slowLink is a router's downlink, which its connections share.
type slowLink struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time

	bytes atomic.Int64
}

// carry blocks until the link has carried n bytes.
func (l *slowLink) carry(n int) {
	l.mu.Lock()
	l.freeAt = l.freeAt.Add(max(0, time.Since(l.freeAt)))
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	wait := time.Until(l.freeAt)
	l.bytes.Add(int64(n))
	l.mu.Unlock()
	time.Sleep(wait)
}

// slowConn is a connection whose messages come over a slowLink, and not at all while stalled
// is set.
type slowConn struct {
	boragewick.Conn
	link    *slowLink
	stalled *atomic.Bool
	closed  *atomic.Bool
}

// Close implements boragewick.Conn.
func (c slowConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c slowConn) ReadMessage() ([]byte, error) {
	b, err := c.Conn.ReadMessage()
	for c.stalled.Load() && !c.closed.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	for n := len(b); n > 0; n -= packetBytes {
		c.link.carry(min(n, packetBytes))
		if c.closed.Load() {
			return nil, io.ErrClosedPipe
		}
	}
	return b, err
}

// tableDocument returns a configuration with the number of routes.
func tableDocument(version uint64, routes int) []byte {
	r := rand.New(rand.NewPCG(version, 1))
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"%08x.example","pathPrefix":"/%07x/%04x/","kind":"safe","timeoutMs":3000,"targetLatencyMs":500,"priority":1,"service":"svc-%d","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"resumable":false,"targetGapMs":0}`,
			r.Uint32()>>4, r.Uint32(), r.Uint32()>>4, r.Uint32()>>16, i%4)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// changeFleet is a router and the three replicas that it follows.
type changeFleet struct {
	t        *testing.T
	replicas []*Core
	mirror   *mirror.Mirror
	link     *slowLink
	// stalled are the connections to each replica that bring nothing.
	stalled []atomic.Bool

	mu sync.Mutex
	// left are the endpoints that the router knows to be leaving, and tableAt is when each
	// version of its table came into force.
	left    map[string]bool
	tableAt map[uint64]time.Time
}

// DecodeTable implements boragewick.TableDecoder. The mirror puts what it decodes in force.
func (f *changeFleet) DecodeTable(document []byte) (*boragewick.RoutingTable, error) {
	t := &boragewick.RoutingTable{}
	if _, err := fmt.Fscanf(bytes.NewReader(document), `{"version":%d,`, &t.Version); err != nil || !bytes.HasSuffix(document, []byte("]}")) {
		return nil, errors.Mark(errors.CombineErrors(errors.New("document"), err), boragewick.ErrBadTable)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tableAt[t.Version] = time.Now()
	return t, nil
}

// inForceAt returns when a version came into force, or a later one; zero if none has.
func (f *changeFleet) inForceAt(version uint64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var first time.Time
	for v, at := range f.tableAt {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// Update implements boragewick.EndpointObserver.
func (f *changeFleet) Update(changes ...boragewick.EndpointChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		if c.Endpoint.Leaving {
			f.left[c.Endpoint.Name] = true
		}
	}
}

func (f *changeFleet) hasLeft(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.left[name]
}

// newChangeFleet starts the replicas and the router, whose link carries the bits in a second.
func newChangeFleet(t *testing.T, bitsPerSecond float64) *changeFleet {
	f := newReplicas(t, bitsPerSecond)
	f.startRouter()
	return f
}

// newReplicas starts the replicas.
func newReplicas(t *testing.T, bitsPerSecond float64) *changeFleet {
	f := &changeFleet{t: t, link: &slowLink{bytesPerSecond: bitsPerSecond / 8}, left: map[string]bool{}, tableAt: map[uint64]time.Time{}}
	network := &memconn.Network{}
	seeds := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}
	f.stalled = make([]atomic.Bool, len(seeds))
	for _, addr := range seeds {
		c := &Core{
			Self: addr, Seeds: seeds, Replica: &fakeReplica{}, Registry: &registry.Registry{},
			Directory: &discovery.Directory{Clock: boragewick.SystemClock, Heartbeat: time.Minute},
			Clock:     boragewick.SystemClock, Logger: log.NewNopLogger(),
		}
		server := &linkserver.Server{Hello: boragewick.Hello{Instance: addr.String()}}
		c.Handle(server.Handle)
		network.Listen(addr, server.ServeConn)
		f.replicas = append(f.replicas, c)
	}
	pool := &peers.Pool{
		Hello: boragewick.Hello{Instance: "router"},
		Dialer: boragewick.DialerFunc(func(ctx context.Context, addr netip.AddrPort) (boragewick.Conn, error) {
			conn, err := network.Dial(ctx, addr)
			return slowConn{conn, f.link, &f.stalled[slices.Index(seeds, addr)], &atomic.Bool{}}, err
		}),
		OnLost: func(addr netip.AddrPort, err error) { t.Logf("connection to %s lost: %v", addr, err) },
	}
	f.mirror = &mirror.Mirror{
		Instance: "router", Seeds: seeds, Decoder: f, Peers: pool, Clock: boragewick.SystemClock,
		Logger: log.NewNopLogger(), Observer: f,
	}
	return f
}

// startRouter starts the router, which ends with the test.
func (f *changeFleet) startRouter() {
	ctx, cancel := context.WithCancel(f.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.mirror.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
		for _, addr := range f.mirror.Seeds {
			_ = f.mirror.Peers.Get(addr).(*link.Link).Close()
		}
		time.Sleep(time.Minute)
	})
}

// apply executes a command at all replicas, as if it were committed.
func (f *changeFleet) apply(command boragewick.RegistryCommand) {
	f.t.Helper()
	b, err := boragewick.Encode(&command)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, c := range f.replicas {
		if out := c.Registry.Apply(boragewick.Entry{Command: b}); out != nil {
			f.t.Fatalf("%s", out)
		}
	}
}

// publish publishes a configuration with the number of routes.
func (f *changeFleet) publish(version uint64, routes int) {
	f.apply(boragewick.RegistryCommand{Publish: &boragewick.Publication{Version: version, Document: tableDocument(version, routes)}})
}

// register makes an endpoint known to all replicas.
func (f *changeFleet) register(i int, leaving bool) {
	r := boragewick.Registration{
		Name: fmt.Sprintf("e%d", i), Pool: "p", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1),
		Started: 1, Number: 1, Leaving: leaving,
	}
	if leaving {
		r.Number = 2
		f.apply(boragewick.RegistryCommand{Departure: &boragewick.EndpointDeparture{Endpoint: r.Name, Started: r.Started}})
	}
	for _, c := range f.replicas {
		c.Directory.Register(r)
	}
}

// change publishes a version, lets an endpoint leave after the pause, and returns how long the
// router takes to go by either, at most a minute.
func (f *changeFleet) change(version uint64, routes, endpoint int, pause time.Duration) (inForce, left time.Duration) {
	f.publish(version, routes)
	published := time.Now()
	time.Sleep(pause)
	f.register(endpoint, true)
	stated := time.Now()
	for time.Since(stated) < time.Minute && (inForce == 0 || left == 0) {
		if at := f.inForceAt(version); inForce == 0 && !at.IsZero() {
			inForce = at.Sub(published)
		}
		if f.hasLeft(fmt.Sprintf("e%d", endpoint)) && left == 0 {
			left = time.Since(stated)
		}
		time.Sleep(time.Millisecond)
	}
	if inForce == 0 {
		inForce = time.Minute
	}
	if left == 0 {
		left = time.Minute
	}
	return inForce, left
}

// depart commits the departures of many endpoints that the router doesn't know.
func (f *changeFleet) depart(n int, pause time.Duration) {
	for i := range n {
		f.apply(boragewick.RegistryCommand{Departure: &boragewick.EndpointDeparture{Endpoint: fmt.Sprintf("i-%010x", i), Started: 1_790_000_000_000 + int64(i)}})
		time.Sleep(pause)
	}
}
