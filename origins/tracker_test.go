package origins

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/originstore"
)

const (
	v1, v2 = boragewick.Build(11), boragewick.Build(22)
	// messageOverhead are the bytes of a message below its content: link, WebSocket, TCP and
	// IP headers, and its share of acknowledgements.
	messageOverhead = 80
)

// fakeReplica is the peer of a control replica.
type fakeReplica struct {
	origins originstore.Store
	down    bool

	mu    sync.Mutex
	run   boragewick.Incarnation
	reply boragewick.OriginReply
	// reports and bytes count the reports.
	reports, bytes int
}

// Open implements boragewick.Peer.
func (r *fakeReplica) Open(_ context.Context, _ string, v any) (boragewick.Stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, errors.Wrap(boragewick.ErrLinkLost, "down")
	}
	now := time.Now()
	switch v := v.(type) {
	case *boragewick.OriginReport:
		b, err := boragewick.Encode(v)
		if err != nil {
			return nil, err
		}
		r.reports++
		r.bytes += 2*messageOverhead + len(b)
		for build, keys := range v.Began {
			for _, key := range keys {
				r.origins.Put(boragewick.StreamOrigin{Key: key, Build: build}, now)
			}
		}
		return reply{run: r.run}, nil
	case *boragewick.OriginQuery:
		answer := r.reply
		answer.Build = r.origins.Get(v.Key, now)
		return reply{answer, r.run}, nil
	}
	return nil, errors.Newf("%T", v)
}

// reply is a stream with one message.
type reply struct {
	boragewick.OriginReply
	run boragewick.Incarnation
}

func (reply) Send(context.Context, any) error { return nil }

func (r reply) Recv(_ context.Context, v any) error {
	switch out := v.(type) {
	case *boragewick.OriginReply:
		*out = r.OriginReply
	case *boragewick.OriginAck:
		out.Run = r.run
	}
	return nil
}

// restart makes the replica a new run, which knows nothing.
func (r *fakeReplica) restart(run boragewick.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origins, r.run, r.down = originstore.Store{}, run, false
}

// stop makes the replica unreachable.
func (r *fakeReplica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
}

// group is a set of fake replicas.
type group []*fakeReplica

func newGroup(replies ...boragewick.OriginReply) group {
	g := group{}
	for _, r := range replies {
		g = append(g, &fakeReplica{reply: r})
	}
	return g
}

// tracker returns a tracker of a router for which builds returns the builds in use.
func (g group) tracker(router int, builds func() []boragewick.Build) *Tracker {
	return &Tracker{
		Instance: fmt.Sprint("router-", router),
		Builds:   func(string) []boragewick.Build { return builds() },
		Replicas: func() (list []netip.AddrPort) {
			for i := range g {
				list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1))
			}
			return list
		},
		Peer:   func(addr netip.AddrPort) boragewick.Peer { return g[addr.Addr().As4()[3]] },
		Clock:  boragewick.ClockFunc(time.Now),
		Logger: log.NewNopLogger(),
	}
}

func fixed(list ...boragewick.Build) func() []boragewick.Build {
	return func() []boragewick.Build { return list }
}

// TestFind guards against going on with a stream whose origin isn't certain, and against
// refusing one whose origin is.
func TestFind(t *testing.T) {
	settled := func(voters int, builds ...boragewick.Build) boragewick.OriginReply {
		return boragewick.OriginReply{Builds: builds, Settled: true, Voters: voters}
	}
	unsettled := boragewick.OriginReply{Builds: []boragewick.Build{v1}, Voters: 3}
	learner := boragewick.OriginReply{Builds: []boragewick.Build{v1}, Settled: true}
	tests := map[string]struct {
		group group
		// down are the replicas that don't answer, and knows is one that has the origin.
		down  []int
		knows int
		want  boragewick.Build
	}{
		"one replica knows":              {newGroup(settled(3, v1, v2), settled(3, v1, v2), settled(3, v1, v2)), nil, 2, v2},
		"the only one left knows":        {newGroup(settled(3, v1, v2), settled(3, v1, v2), settled(3, v1, v2)), []int{0, 1}, 2, v2},
		"a single build":                 {newGroup(settled(3, v1), settled(3, v1), settled(3, v1)), nil, -1, v1},
		"a single build at a majority":   {newGroup(settled(3, v1), settled(3, v1), settled(3, v1)), []int{1}, -1, v1},
		"a single build at a minority":   {newGroup(settled(3, v1), settled(3, v1), settled(3, v1)), []int{0, 2}, -1, 0},
		"several builds and no record":   {newGroup(settled(3, v1, v2), settled(3, v1, v2), settled(3, v1, v2)), nil, -1, 0},
		"one knows of a further build":   {newGroup(settled(3, v1), settled(3, v2), unsettled), nil, -1, 0},
		"logs not applied":               {newGroup(settled(3, v1), unsettled, unsettled), nil, -1, 0},
		"learners don't count":           {newGroup(settled(3, v1), learner, learner, learner), nil, -1, 0},
		"the group has grown":            {newGroup(settled(3, v1), settled(5, v1), learner), nil, -1, 0},
		"no build known yet":             {newGroup(settled(3), settled(3), settled(3)), nil, -1, 0},
		"no replica":                     {nil, nil, -1, 0},
		"all replicas out of reach":      {newGroup(settled(1, v1)), []int{0}, -1, 0},
		"a single voter with one build":  {newGroup(settled(1, v1)), nil, -1, v1},
		"a single voter with two builds": {newGroup(settled(1, v1, v2)), nil, -1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := test.group.tracker(1, fixed(v1))
				for _, i := range test.down {
					test.group[i].down = true
				}
				key := boragewick.NewStreamKey("w", "id")
				if test.knows >= 0 {
					test.group[test.knows].origins.Put(boragewick.StreamOrigin{Key: key, Build: test.want}, time.Now())
				}
				begun := time.Now()
				got, err := tr.Find(t.Context(), key, []string{"p"})
				if got != test.want || (err == nil) != (test.want != 0) || err != nil && !errors.Is(err, boragewick.ErrUnknownOrigin) {
					t.Errorf("build %s, want %s: %v", got, test.want, err)
				}
				if took := time.Since(begun); took > 2*askTimeout+findPause {
					t.Errorf("took %s", took)
				}
			})
		})
	}
}

// TestRecord guards against origins that aren't kept by enough replicas, and against
// messages while there is a single build.
func TestRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(make([]boragewick.OriginReply, 5)...)
		builds := []boragewick.Build{v1}
		var mu sync.Mutex
		tr := g.tracker(1, func() []boragewick.Build {
			mu.Lock()
			defer mu.Unlock()
			return builds
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- tr.Run(ctx) }()
		defer func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		}()
		kept := func(key boragewick.StreamKey) (n int) {
			for _, r := range g {
				if r.origins.Get(key, time.Now()) != 0 {
					n++
				}
			}
			return n
		}
		tr.Record(boragewick.StreamOrigin{Key: 1, Build: v1}, []string{"p"}, time.Now().Add(15*time.Second))
		time.Sleep(time.Second)
		synctest.Wait()
		if kept(1) != 0 {
			t.Error("replicas are told while there is a single build")
		}
		mu.Lock()
		builds = []boragewick.Build{v1, v2}
		mu.Unlock()
		tr.Record(boragewick.StreamOrigin{Key: 2, Build: v2}, []string{"p"}, time.Now().Add(15*time.Second))
		time.Sleep(time.Second)
		synctest.Wait()
		for key := boragewick.StreamKey(1); key <= 2; key++ {
			if n := kept(key); n != copies {
				t.Errorf("stream %d: %d replicas know its origin, want %d", key, n, copies)
			}
		}
		for _, r := range g {
			r.down = r.origins.Get(2, time.Now()) != 0
		}
		tr.Record(boragewick.StreamOrigin{Key: 3, Build: v2}, []string{"p"}, time.Now().Add(15*time.Second))
		time.Sleep(time.Second)
		synctest.Wait()
		if n := kept(3); n != copies {
			t.Errorf("%d replicas know an origin after two were lost, want %d", n, copies)
		}
	})
}

// TestRestartedReplicasAreTold guards against streams that can't be taken up at another router, as the
// replicas that knew where they began have restarted (review/9).
func TestRestartedReplicasAreTold(t *testing.T) {
	const noticed = 2 * time.Second
	tests := map[string]func(g group, record func(boragewick.StreamKey)){
		"at the same time": func(g group, _ func(boragewick.StreamKey)) {
			for _, r := range g {
				r.restart("2")
			}
		},
		"one after another": func(g group, _ func(boragewick.StreamKey)) {
			for _, r := range g {
				r.restart("2")
				time.Sleep(noticed)
			}
		},
		"twice": func(g group, _ func(boragewick.StreamKey)) {
			for _, run := range []boragewick.Incarnation{"2", "3"} {
				for _, r := range g {
					r.restart(run)
				}
				time.Sleep(200 * time.Millisecond)
			}
		},
		"after a while, with a stream that began meanwhile": func(g group, record func(boragewick.StreamKey)) {
			for _, r := range g {
				r.stop()
			}
			record(2)
			time.Sleep(3 * time.Second)
			for _, r := range g {
				r.restart("2")
			}
		},
		"and a stream begins just afterwards": func(g group, record func(boragewick.StreamKey)) {
			for _, r := range g {
				r.restart("2")
			}
			record(2)
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(make([]boragewick.OriginReply, 3)...)
				for _, r := range g {
					r.run = "1"
				}
				tr := g.tracker(1, fixed(v1, v2))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- tr.Run(ctx) }()
				defer func() {
					cancel()
					if err := <-done; err != nil {
						t.Error(err)
					}
				}()
				last := boragewick.StreamKey(0)
				record := func(key boragewick.StreamKey) {
					last = max(last, key)
					tr.Record(boragewick.StreamOrigin{Key: key, Build: v1}, []string{"p"}, time.Now().Add(15*time.Second))
				}
				record(1)
				time.Sleep(time.Second)
				restart(g, record)
				time.Sleep(noticed)
				synctest.Wait()
				other := g.tracker(2, fixed(v1, v2))
				for key := boragewick.StreamKey(1); key <= last; key++ {
					if b, err := other.Find(t.Context(), key, []string{"p"}); b != v1 {
						t.Errorf("stream %d: build %s: %v", key, b, err)
					}
				}
			})
		})
	}
}

// TestManyRoutersAfterRestart answers the restart of all replicas of 300 routers, each with streams of
// 20 s: what they send must not grow with the time for which they have run.
func TestManyRoutersAfterRestart(t *testing.T) {
	const (
		routers   = 300
		perSecond = 27
		// keyBytes is what a stream may take in a report.
		keyBytes = 16
	)
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(make([]boragewick.OriginReply, 16)...)
		trackers := make([]*Tracker, routers)
		var tasks sync.WaitGroup
		for i := range trackers {
			trackers[i] = g.tracker(i, fixed(v1, v2))
		}
		for second := range 60 {
			for i, tr := range trackers {
				for n := range perSecond {
					key := boragewick.NewStreamKey("", boragewick.RequestID(fmt.Sprint(i, "-", second, "-", n)))
					tr.Record(boragewick.StreamOrigin{Key: key, Build: v1}, []string{"p"}, time.Now().Add(15*time.Second))
				}
				tr.send(t.Context(), &tasks)
			}
			tasks.Wait()
			time.Sleep(time.Second)
		}
		for _, r := range g {
			r.restart("2")
			r.bytes = 0
		}
		time.Sleep(time.Second)
		for _, tr := range trackers {
			tr.send(t.Context(), &tasks)
		}
		tasks.Wait()
		total := 0
		for _, r := range g {
			total += r.bytes
		}
		t.Logf("%d bytes from a router after the restart", total/routers)
		if most := copies * (perSecond*int(minRetention/time.Second)*keyBytes + 4*messageOverhead); total/routers > most {
			t.Errorf("%d bytes from a router after the restart, allowed are %d", total/routers, most)
		}
	})
}

// TestManyRoutersRecord answers 300 routers that begin 27 streams a second each in a pool
// with two builds: what each spends, and whether streams of lost routers are found.
func TestManyRoutersRecord(t *testing.T) {
	const (
		routers   = 300
		perSecond = 27
		seconds   = 4
		// allowed is what a node may spend for control in a second, in bytes.
		allowed = 4096
	)
	g := newGroup(make([]boragewick.OriginReply, 16)...)
	trackers := make([]*Tracker, routers)
	for i := range trackers {
		trackers[i] = g.tracker(i, fixed(v1, v2))
	}
	build := func(n int) boragewick.Build { return []boragewick.Build{v1, v2}[n%2] }
	key := func(router, n int) boragewick.StreamKey {
		return boragewick.NewStreamKey("", boragewick.RequestID(fmt.Sprint(router, "-", n)))
	}
	var tasks sync.WaitGroup
	windows := seconds * int(time.Second/batchWindow)
	for window := range windows {
		for i, tr := range trackers {
			for n := perSecond * seconds * window / windows; n < perSecond*seconds*(window+1)/windows; n++ {
				tr.Record(boragewick.StreamOrigin{Key: key(i, n), Build: build(n)}, []string{"p"}, time.Now().Add(15*time.Second))
			}
			tr.send(t.Context(), &tasks)
			tasks.Wait()
		}
	}
	bytes, most := 0, 0
	for _, r := range g {
		bytes += r.bytes
		most = max(most, r.bytes/seconds)
	}
	t.Logf("%d bytes a second at a router, at most %d at a replica", bytes/routers/seconds, most)
	if bytes/routers/seconds > allowed {
		t.Errorf("%d bytes a second at a router, allowed are %d", bytes/routers/seconds, allowed)
	}
	for n := range perSecond * seconds {
		if b, err := trackers[0].Find(t.Context(), key(routers-1, n), []string{"p"}); b != build(n) {
			t.Fatalf("stream %d of another router: build %s: %v", n, b, err)
		}
	}
}
