package process

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/operatorclient"
)

func TestPartitionedRouterRefusesRemovedKey(t *testing.T) {
	tests := map[string]fault{"connections closed": disconnected, "connections silent": dropAll}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			partitioned, connected := f.routers[1], f.routers[0]
			f.await("the key is accepted by the partitioned router", func() bool { return partitioned.chat(f.key).status == http.StatusOK })
			f.network.setFault(fault, "router-1", "control-0", "control-1", "control-2")
			f.apply(connected, "[key /a/key]\nremove = true\n")
			f.await("the key is refused by the connected router", func() bool { return connected.chat(f.key).status == http.StatusUnauthorized })
			var last answer
			f.await("the key is refused by the partitioned router", func() bool {
				last = partitioned.chat(f.key)
				return last.status != http.StatusOK
			})
			if last.status != http.StatusServiceUnavailable || last.outcome != string(boragewick.OutcomeNotRun) {
				t.Errorf("partitioned router: %+v, want 503 and not_run", last)
			}
			if a := partitioned.post("/open/x", "", "", "x"); a.status != http.StatusOK {
				t.Errorf("open route at the partitioned router: %+v", a)
			}
			f.network.setFault(noFault, "router-1", "control-0", "control-1", "control-2")
			f.await("the reconnected router has the current configuration", func() bool { return partitioned.chat(f.key).status == http.StatusUnauthorized })
		})
	}
}

func TestIsolatedLeader(t *testing.T) {
	f := newFleet(t, 2)
	old := f.leader()
	name := old.settings.Instance.Name
	others := []string{"router-0", "model-0", "ledger-0"}
	for _, c := range f.controls {
		if c.Name != name {
			others = append(others, c.Name)
		}
	}
	// router-1 reaches the old leader, but neither the other control replicas nor
	// the endpoints.
	f.network.setFault(dropAll, name, others...)
	f.network.setFault(dropAll, "router-1", append(others[3:], "model-0", "ledger-0")...)
	c := f.client(f.routers[1], "")
	if reply, err := c.Plan(context.Background(), []byte("[workspace /lost]\n")); err == nil {
		t.Errorf("the isolated leader accepted plan %s", reply.Plan.ID)
	}
	f.apply(f.routers[0], "[workspace /kept]\n")
	f.await("the isolated router refuses keyed requests", func() bool {
		return f.routers[1].chat(f.key).status == http.StatusServiceUnavailable
	})
	if a := f.routers[0].chat(f.key); a.status != http.StatusOK {
		t.Errorf("router connected to the majority: %+v", a)
	}
	f.network.setFault(noFault, name, others...)
	f.network.setFault(noFault, "router-1", append(others[3:], "model-0", "ledger-0")...)
	f.await("the isolated router serves again", func() bool { return f.routers[1].chat(f.key).status == http.StatusOK })
	if _, err := c.Get(context.Background(), boragewick.KindWorkspace, "/kept"); err != nil {
		t.Error(err)
	}
	if _, err := c.Get(context.Background(), boragewick.KindWorkspace, "/lost"); !errors.Is(err, boragewick.ErrUnknownObject) {
		t.Errorf("/lost: %v", err)
	}
}

func TestNoChangeIsLostWhileReplicasRestart(t *testing.T) {
	const changes = 300
	f := newFleet(t, 1)
	for n := range changes {
		f.apply(f.routers[0], fmt.Sprintf("[workspace /w/n%d]\n", n))
		if n%50 != 25 {
			continue
		}
		replica := f.instances[f.controls[(n/50)%3].Name]
		replica.stop()
		if n%100 == 25 {
			f.apply(f.routers[0], fmt.Sprintf("[workspace /w/down%d]\n", n))
		}
		replica.start()
	}
	reply, err := f.client(f.routers[0], "").Get(context.Background(), boragewick.KindWorkspace, "")
	if err != nil {
		t.Fatal(err)
	}
	if want := changes + 3 + 1; len(reply.Objects) != want {
		t.Errorf("%d workspaces, want %d", len(reply.Objects), want)
	}
}

func TestConfirmRepeatedAtAnotherRouterAfterLeaderChange(t *testing.T) {
	f := newFleet(t, 2)
	ctx := context.Background()
	reply, err := f.client(f.routers[0], "").Plan(ctx, []byte("[workspace /b]\n"))
	if err != nil {
		t.Fatal(err)
	}
	first, err := f.client(f.routers[0], "").Confirm(ctx, reply.Plan.ID)
	if err != nil {
		t.Fatal(err)
	}
	old := f.leader()
	old.stop()
	second, err := f.client(f.routers[1], "").Confirm(ctx, reply.Plan.ID)
	if err != nil {
		t.Fatal(err)
	}
	if second.Revision != first.Revision || !second.At.Equal(first.At) {
		t.Errorf("repeated confirm: %+v, want %+v", second, first)
	}
	if _, err := f.client(f.routers[1], "another-").Confirm(ctx, reply.Plan.ID); !errors.Is(err, boragewick.ErrPlanDecided) {
		t.Errorf("confirm by another operator: %v", err)
	}
	old.start()
}

func TestConcurrentConfirmsOfConflictingPlans(t *testing.T) {
	f := newFleet(t, 2)
	ctx := context.Background()
	for round := range 10 {
		var plans [2]boragewick.ID
		for n, prefix := range []string{"", "another-"} {
			intent := fmt.Sprintf("[workspace /a]\nweight = %d\n", 2+2*round+n)
			reply, err := f.client(f.routers[n], prefix).Plan(ctx, []byte(intent))
			if err != nil {
				t.Fatal(err)
			}
			plans[n] = reply.Plan.ID
		}
		errs := make(chan error, len(plans))
		for n, prefix := range []string{"", "another-"} {
			go func() {
				_, err := f.client(f.routers[n], prefix).Confirm(ctx, plans[n])
				errs <- err
			}()
		}
		confirmed, stale := 0, 0
		for range plans {
			switch err := <-errs; {
			case err == nil:
				confirmed++
			case errors.Is(err, boragewick.ErrPlanStale):
				stale++
			default:
				t.Error(err)
			}
		}
		if confirmed != 1 || stale != 1 {
			t.Errorf("round %d: %d confirmed, %d stale, want one of each", round, confirmed, stale)
		}
	}
}

func TestPayoutsRunAtMostOnceAcrossRestarts(t *testing.T) {
	f := newFleet(t, 2)
	results := map[string]answer{}
	for n := range 40 {
		switch n {
		case 10, 30:
			agent := f.instances["ledger-0"]
			agent.stop()
			agent.start()
		case 20:
			leader := f.leader()
			leader.stop()
			leader.start()
		}
		key := fmt.Sprintf("payout-%d", n)
		var a answer
		f.await("an answer to "+key, func() bool {
			a = f.routers[n%2].post("/ledger/payouts", f.key, key, key)
			return a.status == http.StatusOK || a.outcome == string(boragewick.OutcomeUnknown)
		})
		results[key] = a
	}
	runs := f.ledger.Ledger()
	for key, a := range results {
		if runs[key] > 1 {
			t.Errorf("%s ran %d times", key, runs[key])
		}
		if a.status == http.StatusOK && runs[key] != 1 {
			t.Errorf("%s was answered with 200 but ran %d times", key, runs[key])
		}
	}
}

func TestReplaceReplicaAfterDataLoss(t *testing.T) {
	f := newFleet(t, 1)
	c := f.client(f.routers[0], "")
	ctx := context.Background()
	lost := f.instances["control-1"]
	lost.stop()
	f.apply(f.routers[0], "[workspace /before]\n")
	if err := os.RemoveAll(lost.settings.Instance.Data); err != nil {
		t.Fatal(err)
	}
	lost.start()
	f.await("the lost replica is removed", func() bool { return f.changeMember(c, boragewick.MemberRemove) == nil })
	f.await("the replica with the empty disk is a learner", func() bool { return f.changeMember(c, boragewick.MemberAdd) == nil })
	f.await("the learner is promoted to a voter", func() bool { return f.changeMember(c, boragewick.MemberPromote) == nil })
	// A second replica fails right after the repair.
	second := f.instances["control-0"]
	second.stop()
	f.apply(f.routers[0], "[workspace /after]\n")
	for _, ref := range []string{"/before", "/after"} {
		if _, err := c.Get(ctx, boragewick.KindWorkspace, ref); err != nil {
			t.Errorf("%s: %v", ref, err)
		}
	}
	second.start()
}

// changeMember requests a membership change of control-1 and logs its error.
func (f *fleet) changeMember(c *operatorclient.Client, action boragewick.MemberAction) error {
	_, err := c.ChangeMembership(context.Background(), action, "control-1")
	if err != nil {
		f.Logf("%s: %v", action, err)
	}
	return err
}

func TestShutdownCompletesRunningRequests(t *testing.T) {
	const long = `{"model":"m","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"long"}]}`
	for _, name := range []string{"model-0", "router-0"} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			began := make(chan struct{})
			answers := make(chan answer, 1)
			go func() { answers <- f.routers[0].stream(f.key, long, began) }()
			<-began
			f.instances[name].stop()
			if a := <-answers; a.status != http.StatusOK || !strings.HasSuffix(a.text, "data: [DONE]\n\n") {
				t.Errorf("status %d, the answer ends %q", a.status, a.text[max(0, len(a.text)-80):])
			}
			if name != "model-0" {
				return
			}
			a := f.routers[1].chat(f.key)
			if a.status != http.StatusServiceUnavailable || a.outcome != string(boragewick.OutcomeNotRun) {
				t.Errorf("new request after the endpoint has left: %+v", a)
			}
		})
	}
}

func TestStatusReportsEndpointLoad(t *testing.T) {
	f := newFleet(t, 1)
	for range 3 {
		if a := f.routers[0].chat(f.key); a.status != http.StatusOK {
			t.Fatalf("%+v", a)
		}
	}
	f.await("the status shows the endpoint's tokens", func() bool {
		s, err := f.client(f.routers[0], "").Status(context.Background())
		return err == nil && slices.ContainsFunc(s.Endpoints, func(e boragewick.EndpointStatus) bool {
			return e.Name == "model-0" && e.Load.PromptTokens > 0 && e.Load.Running == 0
		})
	})
}
