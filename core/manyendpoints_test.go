package core

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/frame"
	"github.com/boragewick/boragewick/registry"
)

// maxMessageBytes is the default limit of a link.
const maxMessageBytes = 16 << 20

var errAllReceived = errors.New("all received")

// watcherStream is the stream of a watcher that ends once it has received the endpoint.
type watcherStream struct {
	t        *testing.T
	request  boragewick.WatchRequest
	last     string
	received int
}

func (s *watcherStream) Recv(_ context.Context, v any) error {
	*v.(*boragewick.WatchRequest) = s.request
	return nil
}

func (s *watcherStream) Send(_ context.Context, v any) error {
	var buf bytes.Buffer
	if err := frame.Encode(&buf, v); err != nil {
		return err
	}
	if buf.Len() > maxMessageBytes {
		return errors.Wrapf(boragewick.ErrTooLarge, "message of %d bytes", buf.Len())
	}
	for _, r := range v.(*boragewick.WatchUpdate).Registrations {
		s.received++
		if r.Name == s.last && r.Leaving {
			return errAllReceived
		}
	}
	return nil
}

// TestManyEndpointsFitIntoMessages guards against a directory that no message holds: the
// streams to all watchers ended with it, and each that was opened in their place.
func TestManyEndpointsFitIntoMessages(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := boragewick.ClockFunc(func() time.Time { return now })
	weights := map[string]uint64{}
	for i := range 64 {
		weights[fmt.Sprint(i, strings.Repeat("m", 250))] = 1 << 60
	}
	for _, heartbeats := range []bool{false, true} {
		c := &Core{
			Registry: &registry.Registry{Clock: clock}, Directory: &discovery.Directory{Clock: clock, Heartbeat: time.Minute},
			Clock: clock, Replica: &fakeReplica{}, Logger: log.NewNopLogger(), Self: netip.MustParseAddrPort("10.0.0.1:1"),
		}
		register := func(i int, leaving bool, number uint64) {
			c.Directory.Register(boragewick.Registration{
				Name: fmt.Sprint(i, strings.Repeat("e", 250)), Pool: strings.Repeat("p", 256), Domain: strings.Repeat("d", 256), Weights: weights,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1), Leaving: leaving, Number: number,
			})
		}
		for i := range 1200 {
			register(i, false, 1)
		}
		register(7, true, 2)
		s := &watcherStream{t: t, last: fmt.Sprint(7, strings.Repeat("e", 250)), request: boragewick.WatchRequest{Instance: "r", Heartbeats: heartbeats}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if err := c.serveWatch(ctx, s); !errors.Is(err, errAllReceived) || s.received != 1200 {
			t.Errorf("heartbeats %t: %d endpoints received: %v", heartbeats, s.received, err)
		}
		cancel()
	}
}

// TestEndpointsAreBounded guards against heartbeats under ever new ids that use up the
// memory of all processes.
func TestEndpointsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := boragewick.ClockFunc(func() time.Time { return now })
	c := &Core{Registry: &registry.Registry{}, Directory: &discovery.Directory{Clock: clock, Heartbeat: time.Second}, Clock: clock, Replica: &fakeReplica{}, Logger: log.NewNopLogger()}
	register := func(name string) error {
		return c.Register(t.Context(), boragewick.Registration{Name: name, Pool: "p", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Number: 2})
	}
	refused := 0
	for i := range 20000 {
		if errors.Is(register(fmt.Sprint(i)), boragewick.ErrOverloaded) {
			refused++
		}
	}
	if refused == 0 || len(c.Directory.Registrations()) > 20000-refused {
		t.Errorf("%d refused, %d known", refused, len(c.Directory.Registrations()))
	}
	if err := register("7"); err != nil {
		t.Errorf("an endpoint that is known: %v", err)
	}
	now = now.Add(time.Minute)
	c.Directory.Sweep()
	now = now.Add(time.Minute)
	c.Directory.Sweep()
	if err := register("new"); err != nil {
		t.Errorf("after the others are gone: %v", err)
	}
}
