package core

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/quarantine"
	"github.com/boragewick/boragewick/registry"
)

// fakeReplica applies what is proposed at once, unless it fails.
type fakeReplica struct {
	Replica
	registry  *registry.Registry
	leading   bool
	err       error
	proposals int
}

func (r *fakeReplica) Status() boragewick.LogStatus {
	return boragewick.LogStatus{Leading: r.leading, Term: 3, Applied: 1, Last: 1}
}

func (r *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.proposals++
	if r.err != nil {
		return nil, r.err
	}
	return r.registry.Apply(boragewick.Entry{Command: command}), nil
}

// fixture is a control replica at a time that the test sets.
type fixture struct {
	*quarantineKeeper
	replica *fakeReplica
	now     time.Time
}

func newFixture() *fixture {
	reg := &registry.Registry{}
	f := &fixture{replica: &fakeReplica{registry: reg, leading: true}, now: time.Unix(1000, 0)}
	clock := boragewick.ClockFunc(func() time.Time { return f.now })
	f.quarantineKeeper = &quarantineKeeper{Core: &Core{
		Self: netip.MustParseAddrPort("10.0.0.1:1"), Replica: f.replica, Registry: reg,
		Directory: &discovery.Directory{Clock: clock}, Quarantine: &quarantine.Detector{Clock: clock},
		Clock: clock, Logger: log.NewNopLogger(), Metrics: metrics.NewRegistry(),
	}}
	return f
}

// crash reports a crash of a new run of an endpoint with the parts, a second later.
func (f *fixture) crash(t *testing.T, parts ...uint64) {
	t.Helper()
	f.now = f.now.Add(time.Second)
	c := boragewick.EndpointCrash{Endpoint: "e", Incarnation: boragewick.NewIncarnation(), At: f.now}
	for _, part := range parts {
		c.Parts = append(c.Parts, boragewick.SuspectPart{Key: part, SentAt: f.now.Add(-time.Second / 2)})
	}
	f.report(t, boragewick.CrashReport{Crashes: []boragewick.EndpointCrash{c}})
}

func (f *fixture) report(t *testing.T, r boragewick.CrashReport) {
	t.Helper()
	r.Now = f.now
	if _, err := f.reportCrashes(t.Context(), r); err != nil {
		t.Fatal(err)
	}
}

// settle sweeps once all reports have settled.
func (f *fixture) settle(t *testing.T) {
	t.Helper()
	f.now = f.now.Add(time.Second / 2)
	f.sweep(t.Context())
}

// left returns how long the only quarantine lasts, as routers learn it.
func (f *fixture) left() time.Duration {
	state, _ := f.Registry.State()
	set := f.activeParts(&state)
	return set.Ends[0].Sub(set.Now)
}

func (f *fixture) part(key uint64) boragewick.QuarantinedPart {
	state, _ := f.Registry.State()
	i := slices.IndexFunc(state.Quarantined, func(p boragewick.QuarantinedPart) bool { return p.Part == key })
	if i < 0 {
		return boragewick.QuarantinedPart{}
	}
	return state.Quarantined[i]
}

// TestLeaderQuarantines answers a part that crashes one run after another and is never
// refused, or is refused for ever: quarantines end, and get longer.
func TestLeaderQuarantines(t *testing.T) {
	f := newFixture()
	for range 5 {
		f.crash(t, 7)
	}
	f.settle(t)
	for count := uint64(1); count < 12; count++ {
		if p := f.part(7); !p.Active || p.Count != count {
			t.Fatalf("after %d crashes in quarantine: %+v", count, p)
		}
		if left := f.left(); left != boragewick.QuarantineTime<<min(count-1, maxQuarantineDoublings) {
			t.Fatalf("routers learn that quarantine %d ends in %s", count, left)
		}
		f.settle(t) // sees its own decision
		seenAt := f.now
		duration := boragewick.QuarantineTime << min(count-1, maxQuarantineDoublings)
		if left := f.left(); left != duration {
			t.Fatalf("routers learn that quarantine %d, just begun, ends in %s", count, left)
		}
		f.now = seenAt.Add(duration - time.Millisecond)
		f.sweep(t.Context())
		if !f.part(7).Active {
			t.Fatalf("quarantine %d lifted before %s", count, duration)
		}
		f.now = seenAt.Add(duration)
		f.sweep(t.Context())
		if f.part(7).Active {
			t.Fatalf("quarantine %d not lifted after %s", count, duration)
		}
		f.crash(t, 7)
		f.settle(t)
	}
	if n := metrics.GetOrRegisterCounter("quarantine.put", f.Metrics).Count(); n != 12 {
		t.Errorf("%d quarantines counted", n)
	}
}

// TestAnswerLiftsQuarantine guards against refusing a sound part for minutes: requests
// with it that were in progress at the decision are answered.
func TestAnswerLiftsQuarantine(t *testing.T) {
	f := newFixture()
	for range 5 {
		f.crash(t, 7)
	}
	f.settle(t)
	if !f.part(7).Active {
		t.Fatal("not in quarantine")
	}
	f.settle(t)
	if !f.part(7).Active {
		t.Fatal("lifted without an answer")
	}
	f.report(t, boragewick.CrashReport{Answered: []uint64{7}})
	f.settle(t)
	if p := f.part(7); p.Active || p.Count != 0 {
		t.Fatalf("after an answer: %+v", p)
	}
	f.crash(t, 7)
	f.settle(t)
	if f.part(7).Active {
		t.Error("one more crash counts like that of a part that was in quarantine before")
	}
}

// TestNewLeaderDecides answers a change of the leader between the crashes and the
// decision, and between the decision and the lifting.
func TestNewLeaderDecides(t *testing.T) {
	f := newFixture()
	f.replica.leading = false
	for range 5 {
		f.crash(t, 7)
	}
	f.settle(t)
	if f.replica.proposals > 0 {
		t.Error("a replica that does not lead proposed")
	}
	f.replica.leading = true
	f.sweep(t.Context())
	if !f.part(7).Active {
		t.Fatal("the new leader did not decide")
	}
	f.replica.leading = false
	f.sweep(t.Context())
	f.now = f.now.Add(boragewick.QuarantineTime)
	f.replica.leading = true
	f.sweep(t.Context())
	if f.part(7).Active {
		t.Error("the new leader did not count from when its replica saw the quarantine")
	}
}

// TestFailedProposalIsRepeated answers a leader that loses its majority for a while.
func TestFailedProposalIsRepeated(t *testing.T) {
	f := newFixture()
	for range 5 {
		f.crash(t, 7)
	}
	f.replica.err = boragewick.ErrTimeout
	f.settle(t)
	f.sweep(t.Context())
	if f.part(7).Active || f.replica.proposals != 2 {
		t.Fatalf("%d proposals", f.replica.proposals)
	}
	f.replica.err = nil
	f.sweep(t.Context())
	f.sweep(t.Context())
	if !f.part(7).Active || f.replica.proposals != 3 {
		t.Errorf("%d proposals", f.replica.proposals)
	}
}

// TestNoDiskRefusesReports answers a router that takes a process without a disk for a
// replica.
func TestNoDiskRefusesReports(t *testing.T) {
	c := &Core{Logger: log.NewNopLogger()}
	if _, err := c.reportCrashes(t.Context(), boragewick.CrashReport{}); !errors.Is(err, boragewick.ErrUnknownService) {
		t.Errorf("error %v", err)
	}
}

// next returns the next update for the watcher as it arrives there, and its wait
// function.
func (f *fixture) next(t *testing.T, sent *cursor) (boragewick.WatchUpdate, func(context.Context) error) {
	t.Helper()
	u, wait := f.nextUpdate(sent)
	b, err := boragewick.Encode(&u)
	if err != nil {
		t.Fatal(err)
	}
	var received boragewick.WatchUpdate
	if err := boragewick.Decode(b, &received); err != nil {
		t.Fatal(err)
	}
	return received, wait
}

// TestWatchersGetPartsOnce answers watchers that miss a set of parts, also an empty one,
// or get it again with every update.
func TestWatchersGetPartsOnce(t *testing.T) {
	f := newFixture()
	var sent, late cursor
	expect := func(step string, sent *cursor, quarantined, suspects *boragewick.PartSet) {
		t.Helper()
		u, _ := f.next(t, sent)
		for name, sets := range map[string][2]*boragewick.PartSet{"quarantined": {u.Quarantined, quarantined}, "suspects": {u.Suspects, suspects}} {
			got, want := sets[0], sets[1]
			if (got == nil) != (want == nil) || got != nil && (!slices.Equal(got.Parts, want.Parts) || got.Changed != want.Changed) {
				t.Errorf("%s, %s: %+v, want %+v", step, name, got, want)
			}
		}
	}
	set := func(changed uint64, parts ...uint64) *boragewick.PartSet {
		return &boragewick.PartSet{Parts: parts, Changed: changed}
	}
	expect("start", &sent, nil, nil)
	f.crash(t, 7, 9)
	expect("one crash", &sent, nil, set(0, 7, 9))
	expect("again", &sent, nil, nil)
	f.report(t, boragewick.CrashReport{Answered: []uint64{9}})
	expect("answered, too early", &sent, nil, nil)
	f.now = f.now.Add(suspectsInterval)
	expect("answered", &sent, nil, set(0, 7))
	for range 4 {
		f.crash(t, 7)
	}
	f.settle(t)
	expect("quarantined", &sent, set(1, 7), nil)
	expect("again", &sent, nil, nil)
	f.settle(t)
	f.now = f.now.Add(boragewick.QuarantineTime)
	f.settle(t)
	expect("lifted", &sent, set(2), set(0))
	expect("started later", &late, set(2), nil)
	expect("again", &late, nil, nil)
	replica := cursor{WatchRequest: boragewick.WatchRequest{Heartbeats: true}}
	f.crash(t, 7)
	f.settle(t)
	expect("another replica", &replica, nil, nil)
	group := cursor{WatchRequest: boragewick.WatchRequest{GroupOnly: true}}
	expect("a watcher of the group", &group, nil, nil)
}

// TestSuspectsWakeWatchers answers a suspect that a router learns of only at the next
// keepalive.
func TestSuspectsWakeWatchers(t *testing.T) {
	f := newFixture()
	var sent cursor
	_, wait := f.next(t, &sent)
	f.crash(t, 7)
	ctx, cancel := context.WithTimeout(t.Context(), keepaliveInterval/2)
	defer cancel()
	if err := wait(ctx); err != nil {
		t.Error(err)
	}
	if u, _ := f.next(t, &sent); u.Suspects == nil {
		t.Error("no suspects")
	}
}

// TestManySuspectsAreLoggedInPart answers log lines that grow with an outage.
func TestManySuspectsAreLoggedInPart(t *testing.T) {
	tests := map[string]struct {
		parts []uint64
		want  string
	}{
		"none":     {nil, ""},
		"two":      {[]uint64{1, 0xabc}, "0000000000000001,0000000000000abc"},
		"too many": {make([]uint64, maxLoggedParts+5), ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := formatParts(test.parts)
			if len(got) > 17*(maxLoggedParts+1) || test.want != "" && got != test.want {
				t.Errorf("%q", got)
			}
		})
	}
}
