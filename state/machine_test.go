package state

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
	"github.com/boragewick/boragewick/intent"
	"github.com/boragewick/boragewick/planner"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture applies commands to one Machine as the log would.
type fixture struct {
	t       *testing.T
	machine Machine
	now     time.Time
	index   uint64
	planner planner.Planner
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, now: start, planner: planner.Planner{
		HashKey: boragewick.KeyHasher{Secret: []byte("secret")}.Hash,
		NewKey:  boragewick.NewCallerKey,
	}}
}

func (f *fixture) apply(c boragewick.Command) boragewick.Result {
	f.t.Helper()
	c.At = f.now
	b, err := boragewick.Encode(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.index++
	out := f.machine.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 1, Index: f.index}, Command: b})
	var r boragewick.Result
	if err := boragewick.Decode(out, &r); err != nil {
		f.t.Fatal(err)
	}
	return r
}

// plan makes a plan from the intent, stores it and returns it.
func (f *fixture) plan(operator, text string) (boragewick.PlanReply, error) {
	f.t.Helper()
	in, err := intent.Parse([]byte(text))
	if err != nil {
		return boragewick.PlanReply{}, err
	}
	var reply boragewick.PlanReply
	f.machine.View(func(c *catalogue.Catalogue) {
		reply, err = f.planner.Plan(c, in, operator, f.now)
	})
	if err != nil {
		return reply, err
	}
	f.apply(boragewick.Command{Plan: &reply.Plan})
	return reply, nil
}

// confirm confirms the plan and returns the decision and its error.
func (f *fixture) confirm(operator string, plan boragewick.ID) (*boragewick.Decision, error) {
	f.t.Helper()
	r := f.apply(boragewick.Command{Confirm: &boragewick.Confirm{Plan: plan, Operator: operator}})
	if r.Fault != nil {
		return nil, r.Fault.Err()
	}
	if r.Decision.Fault != nil {
		return r.Decision, r.Decision.Fault.Err()
	}
	return r.Decision, nil
}

func (f *fixture) mustApply(operator, text string) {
	f.t.Helper()
	reply, err := f.plan(operator, text)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.confirm(operator, reply.Plan.ID); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) find(kind boragewick.Kind, ref string) (o *boragewick.Object, err error) {
	f.machine.View(func(c *catalogue.Catalogue) { o, err = c.Find(kind, ref) })
	return o, err
}

const north = "[workspace /hulling/north]\ndotted = hulling.north\ncode = WS-1\n"

func TestPlanErrors(t *testing.T) {
	tests := map[string]struct {
		intent string
		want   error
	}{
		"no section":             {"", boragewick.ErrBadIntent},
		"key before section":     {"weight = 1\n" + north, boragewick.ErrBadIntent},
		"unknown kind":           {"[tenant /a]\n", boragewick.ErrBadIntent},
		"unknown field":          {"[workspace /a]\ncolour = red\n", boragewick.ErrBadIntent},
		"bad number":             {"[workspace /a]\nweight = many\n", boragewick.ErrBadIntent},
		"bad name":               {"[workspace Hulling]\n", boragewick.ErrBadName},
		"name in wrong scheme":   {"[workspace /a]\ncode = a.b\n", boragewick.ErrBadName},
		"unknown id":             {"[workspace workspace_aaaaaaaaaaaaaaaa]\n", boragewick.ErrUnknownObject},
		"name taken":             {"[workspace /a]\ncode = WS-1\n", boragewick.ErrNameTaken},
		"nothing to do":          {north, boragewick.ErrBadIntent},
		"remove unknown":         {"[workspace /a]\nremove = true\n", boragewick.ErrUnknownObject},
		"remove in use":          {"[workspace /hulling/north]\nremove = true\n", boragewick.ErrObjectInUse},
		"remove with fields":     {"[key /k]\nremove = true\nexpires =\n", boragewick.ErrBadIntent},
		"key without workspace":  {"[key /a]\n", boragewick.ErrBadIntent},
		"rate without burst":     {"[rate /a]\nworkspace = WS-1\ntokens_per_second = 5\n", boragewick.ErrBadIntent},
		"two rates":              {"[rate /a]\nworkspace = WS-1\ntokens_per_second = 5\nburst = 5\n[rate /b]\nworkspace = WS-1\ntokens_per_second = 5\nburst = 5\n", boragewick.ErrNameTaken},
		"route of both kinds":    {"[route /a]\nmodel = m\nprefix = /p\npool = p\n", boragewick.ErrBadIntent},
		"route below /v1":        {"[route /a]\nprefix = /v1/x\npool = p\n", boragewick.ErrBadIntent},
		"object stands twice":    {"[workspace WS-1]\nweight = 2\n[workspace hulling.north]\nweight = 3\n", boragewick.ErrBadIntent},
		"malformed INI":          {"[workspace /a\n", boragewick.ErrBadIntent},
		"section without a name": {"[workspace]\n", boragewick.ErrBadIntent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.mustApply("ann", north+"[key /k]\nworkspace = hulling.north\n")
			if _, err := f.plan("ann", tt.intent); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func TestFindByEveryScheme(t *testing.T) {
	f := newFixture(t)
	f.mustApply("ann", north)
	byPath, err := f.find(boragewick.KindWorkspace, "/hulling/north")
	if err != nil {
		t.Fatal(err)
	}
	for _, ref := range []string{"hulling.north", "WS-1", "code:WS-1", string(byPath.ID), "id:" + string(byPath.ID)} {
		o, err := f.find(boragewick.KindWorkspace, ref)
		if err != nil || o.ID != byPath.ID {
			t.Errorf("%s: got %v, %v", ref, o, err)
		}
	}
}

func TestConfirm(t *testing.T) {
	const change = "[workspace WS-1]\nweight = 7\n"
	tests := map[string]struct {
		between func(f *fixture, plan boragewick.ID)
		by      string
		want    error
	}{
		"plain": {by: "ann"},
		"resent by its operator": {
			between: func(f *fixture, plan boragewick.ID) { _, _ = f.confirm("ann", plan) },
			by:      "ann",
		},
		"decided by another": {
			between: func(f *fixture, plan boragewick.ID) { _, _ = f.confirm("ben", plan) },
			by:      "ann", want: boragewick.ErrPlanDecided,
		},
		"object changed since": {
			between: func(f *fixture, _ boragewick.ID) { f.mustApply("ben", "[workspace WS-1]\nweight = 3\n") },
			by:      "ann", want: boragewick.ErrPlanStale,
		},
		"object removed since": {
			between: func(f *fixture, _ boragewick.ID) { f.mustApply("ben", "[workspace WS-1]\nremove = true\n") },
			by:      "ann", want: boragewick.ErrPlanStale,
		},
		"expired": {
			between: func(f *fixture, _ boragewick.ID) { f.now = f.now.Add(time.Hour) },
			by:      "ann", want: boragewick.ErrPlanExpired,
		},
		"another object changed since": {
			between: func(f *fixture, _ boragewick.ID) { f.mustApply("ben", "[workspace /other]\n") },
			by:      "ann",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.mustApply("ann", north)
			reply, err := f.plan("ann", change)
			if err != nil {
				t.Fatal(err)
			}
			if tt.between != nil {
				tt.between(f, reply.Plan.ID)
			}
			first, err := f.confirm(tt.by, reply.Plan.ID)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			f.restart()
			again, err := f.confirm(tt.by, reply.Plan.ID)
			if !errors.Is(err, tt.want) {
				t.Fatalf("resent after a restart: got %v, want %v", err, tt.want)
			}
			if first != nil && (again.Revision != first.Revision || !again.At.Equal(first.At)) {
				t.Errorf("resent after a restart: got %+v, want %+v", again, first)
			}
		})
	}
}

// restart replaces the machine with one restored from its snapshot.
func (f *fixture) restart() {
	f.t.Helper()
	b, err := f.machine.Snapshot()
	if err != nil {
		f.t.Fatal(err)
	}
	f.machine = Machine{}
	if err := f.machine.Restore(b); err != nil {
		f.t.Fatal(err)
	}
}

func TestFailedPlanChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.mustApply("ann", north)
	reply, err := f.plan("ann", "[workspace WS-1]\nweight = 9\n[workspace /second]\ndotted = new.name\n")
	if err != nil {
		t.Fatal(err)
	}
	f.mustApply("ben", "[workspace /third]\ndotted = new.name\n")
	before := f.machine.Revision()
	if _, err := f.confirm("ann", reply.Plan.ID); !errors.Is(err, boragewick.ErrPlanStale) {
		t.Fatalf("got %v, want stale", err)
	}
	o, err := f.find(boragewick.KindWorkspace, "WS-1")
	if err != nil || o.Workspace.Weight != 1 {
		t.Errorf("the first change was not reverted: %+v, %v", o, err)
	}
	if f.machine.Revision() != before {
		t.Errorf("revision went from %v to %v", before, f.machine.Revision())
	}
}

func TestSnapshotContainsNoKeySecret(t *testing.T) {
	f := newFixture(t)
	reply, err := f.plan("ann", north+"[key /k]\nworkspace = WS-1\n")
	if err != nil {
		t.Fatal(err)
	}
	planned, _ := f.machine.Snapshot()
	if _, err := f.confirm("ann", reply.Plan.ID); err != nil {
		t.Fatal(err)
	}
	confirmed, _ := f.machine.Snapshot()
	secret := []byte(reply.Keys[0].Secret)
	if bytes.Contains(planned, secret) || bytes.Contains(confirmed, secret) {
		t.Error("the snapshot contains the key")
	}
}

func TestFollow(t *testing.T) {
	f := newFixture(t)
	if list, _ := f.machine.Follow(boragewick.Revision{}); len(list) != 0 {
		t.Errorf("updates of an empty machine: %v", list)
	}
	f.mustApply("ann", north)
	first := f.machine.Revision()
	_, changed := f.machine.Follow(first)
	f.mustApply("ann", "[workspace WS-1]\nweight = 2\n")
	select {
	case <-changed:
	default:
		t.Error("the channel was not closed by the update")
	}
	list, _ := f.machine.Follow(first)
	if len(list) != 1 || list[0].Snapshot || len(list[0].Objects) != 1 {
		t.Errorf("got %+v, want one delta", list)
	}
	f.restart()
	list, _ = f.machine.Follow(first)
	if len(list) != 1 || !list[0].Snapshot || list[0].Revision != f.machine.Revision() {
		t.Errorf("after a restart: got %+v, want one snapshot", list)
	}
}
