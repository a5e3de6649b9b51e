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

// pipe is one end of an in-memory stream.
type pipe struct {
	in     <-chan []byte
	out    chan<- []byte
	closed <-chan struct{}
}

func (p pipe) Send(ctx context.Context, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	select {
	case <-p.closed: // a link knows that it has ended
		return boragewick.ErrLinkLost
	default:
	}
	select {
	case p.out <- b:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.closed:
		return boragewick.ErrLinkLost
	}
}

func (p pipe) Recv(ctx context.Context, v any) error {
	select {
	case b := <-p.in:
		return cbor.Unmarshal(b, v)
	case <-ctx.Done():
		return ctx.Err()
	case <-p.closed:
	}
	select {
	case b := <-p.in:
		return cbor.Unmarshal(b, v)
	default:
		return io.EOF
	}
}

// recordingMachine is a state machine that records the applied commands.
type recordingMachine struct {
	mu       sync.Mutex
	commands []string
}

func (m *recordingMachine) Apply(e boragewick.Entry) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(e.Command))
	return binary.BigEndian.AppendUint64(nil, uint64(len(m.commands)))
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(m.commands, " ")), nil
}

func (m *recordingMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = strings.Fields(string(b))
	return nil
}

func (m *recordingMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// group runs replicas over in-memory links.
type group struct {
	t    testing.TB
	cfg  boragewick.ReplicaSettings
	root string
	wrap func(boragewick.FileSystem) boragewick.FileSystem
	// maxBatch limits the number of requests or messages that share one sync.
	maxBatch     int
	handOverTime time.Duration

	mu       sync.Mutex
	nodes    map[string]*runningNode
	isolated map[string]bool
}

// runningNode is a started replica.
type runningNode struct {
	*Node
	machine *recordingMachine
	cancel  context.CancelFunc
	result  chan error
}

func newGroup(t testing.TB, voters ...string) *group {
	return &group{
		t:        t,
		cfg:      boragewick.ReplicaSettings{Voters: voters},
		root:     t.TempDir(),
		nodes:    map[string]*runningNode{},
		isolated: map[string]bool{},
		maxBatch: requestQueueSize,
	}
}

// start opens the replica's folder and runs it.
func (g *group) start(name string) *runningNode {
	g.t.Helper()
	folder, err := disk.OpenFolder(filepath.Join(g.root, name))
	if err != nil {
		g.t.Fatal(err)
	}
	if g.wrap != nil {
		folder = g.wrap(folder)
	}
	cfg := g.cfg
	cfg.Name = name
	machine := &recordingMachine{}
	ctx, cancel := context.WithCancel(context.Background())
	peers := func(to string) (boragewick.Peer, error) { return &memoryPeer{g, name, to}, nil }
	r := &runningNode{New(cfg, disk.New(folder), machine, peers), machine, cancel, make(chan error, 1)}
	r.maxBatch = g.maxBatch
	r.HandOverTime = g.handOverTime
	g.mu.Lock()
	g.nodes[name] = r
	g.mu.Unlock()
	go func() { r.result <- r.Run(ctx) }()
	return r
}

// stop stops the replica and returns Run's error.
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
	toServer, toClient := make(chan []byte, 16), make(chan []byte, 16)
	closed := make(chan struct{})
	client := pipe{toClient, toServer, closed}
	server := pipe{toServer, toClient, ctx.Done()}
	go func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			// The links of a process end with it.
			select {
			case <-r.done:
				cancel()
			case <-ctx.Done():
			}
		}()
		_ = r.Serve(ctx, &partitionedStream{server, p})
		close(closed)
	}()
	return client, client.Send(ctx, v)
}

// partitionedStream drops the messages from and to isolated replicas.
type partitionedStream struct {
	pipe
	peer *memoryPeer
}

func (s *partitionedStream) Recv(ctx context.Context, v any) error {
	for {
		if err := s.pipe.Recv(ctx, v); err != nil {
			return err
		}
		s.peer.g.mu.Lock()
		drop := s.peer.g.isolated[s.peer.from] || s.peer.g.isolated[s.peer.to]
		s.peer.g.mu.Unlock()
		if !drop {
			return nil
		}
	}
}
