package quorum

import (
	"context"
	"encoding/binary"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/disk"
)

// pipe is one direction of an in-memory stream.
type pipe struct {
	in  <-chan []byte
	out chan<- []byte
	end <-chan struct{}
}

func (p pipe) Send(ctx context.Context, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	select {
	case p.out <- b:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.end:
		return boragewick.ErrLinkLost
	}
}

func (p pipe) Recv(ctx context.Context, v any) error {
	select {
	case b := <-p.in:
		return cbor.Unmarshal(b, v)
	case <-ctx.Done():
		return ctx.Err()
	case <-p.end:
	}
	select {
	case b := <-p.in:
		return cbor.Unmarshal(b, v)
	default:
		return io.EOF
	}
}

// counter is a state machine that lists its commands.
type counter struct {
	mu    sync.Mutex
	words []string
}

func (c *counter) Apply(e boragewick.Entry) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.words = append(c.words, string(e.Command))
	return binary.BigEndian.AppendUint64(nil, uint64(len(c.words)))
}

func (c *counter) Snapshot() ([]byte, error) {
	return []byte(strings.Join(c.words, " ")), nil
}

func (c *counter) Restore(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.words = strings.Fields(string(b))
	return nil
}

func (c *counter) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.words)
}

// group runs replicas over in-memory links.
type group struct {
	t    testing.TB
	cfg  boragewick.ReplicaSettings
	root string
	wrap func(boragewick.FileSystem) boragewick.FileSystem
	// batch is the number of requests that share one sync.
	batch int

	mu     sync.Mutex
	nodes  map[string]*runningNode
	silent map[string]bool
}

// runningNode is a started replica.
type runningNode struct {
	*Node
	machine *counter
	cancel  context.CancelFunc
	result  chan error
}

func newGroup(t testing.TB, voters ...string) *group {
	return &group{
		t:      t,
		cfg:    boragewick.ReplicaSettings{Voters: voters},
		root:   t.TempDir(),
		nodes:  map[string]*runningNode{},
		silent: map[string]bool{},
		batch:  inboxRequests,
	}
}

// start opens the replica's folder and runs it.
func (g *group) start(name string) *runningNode {
	g.t.Helper()
	folder, err := disk.Folder(filepath.Join(g.root, name))
	if err != nil {
		g.t.Fatal(err)
	}
	if g.wrap != nil {
		folder = g.wrap(folder)
	}
	cfg := g.cfg
	cfg.Name = name
	machine := &counter{}
	ctx, cancel := context.WithCancel(context.Background())
	peers := func(to string) (boragewick.Peer, error) { return &memoryPeer{g, name, to}, nil }
	r := &runningNode{New(cfg, disk.New(folder), machine, peers), machine, cancel, make(chan error, 1)}
	r.batch = g.batch
	g.mu.Lock()
	g.nodes[name] = r
	g.mu.Unlock()
	go func() { r.result <- r.Run(ctx) }()
	return r
}

// stop ends the replica and returns Run's error.
func (g *group) stop(name string) error {
	g.mu.Lock()
	r := g.nodes[name]
	delete(g.nodes, name)
	g.mu.Unlock()
	r.cancel()
	return <-r.result
}

func (g *group) stopAll() {
	for _, name := range slices.Collect(maps.Keys(g.nodes)) {
		_ = g.stop(name)
	}
}

// leader waits for a replica that leads and can serve reads.
func (g *group) leader() *runningNode {
	g.t.Helper()
	for range 1000 {
		g.mu.Lock()
		nodes := slices.Collect(maps.Values(g.nodes))
		g.mu.Unlock()
		for _, r := range nodes {
			if r.Status().Leading && r.Barrier(context.Background()) == nil {
				return r
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.t.Fatal("no leader")
	return nil
}

// memoryPeer opens streams to a replica of the group.
type memoryPeer struct {
	g        *group
	from, to string
}

func (p *memoryPeer) Open(ctx context.Context, _ string, v any) (boragewick.Stream, error) {
	p.g.mu.Lock()
	r := p.g.nodes[p.to]
	p.g.mu.Unlock()
	if r == nil {
		return nil, errors.Wrapf(boragewick.ErrLinkLost, "%s is down", p.to)
	}
	there, back := make(chan []byte, 16), make(chan []byte, 16)
	end := make(chan struct{})
	near := pipe{back, there, end}
	far := pipe{there, back, ctx.Done()}
	go func() {
		_ = r.Serve(ctx, &cutStream{far, p})
		close(end)
	}()
	return near, near.Send(ctx, v)
}

// cutStream loses what crosses a silent replica.
type cutStream struct {
	pipe
	peer *memoryPeer
}

func (s *cutStream) Recv(ctx context.Context, v any) error {
	for {
		if err := s.pipe.Recv(ctx, v); err != nil {
			return err
		}
		s.peer.g.mu.Lock()
		cut := s.peer.g.silent[s.peer.from] || s.peer.g.silent[s.peer.to]
		s.peer.g.mu.Unlock()
		if !cut {
			return nil
		}
	}
}
