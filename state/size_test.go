package state

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/view"
)

// plannedWorkspaces is the number of workspaces that the system is designed for.
const plannedWorkspaces = 13000

// populate creates workspaces, each with a key and a rate.
func populate(apply func(c boragewick.Command), workspaces int) {
	for n := range workspaces {
		w := boragewick.Object{
			ID: boragewick.NewID(boragewick.KindWorkspace), Kind: boragewick.KindWorkspace,
			Names:     boragewick.Names{Path: fmt.Sprintf("/cooperative/number-%d", n), Dotted: fmt.Sprintf("cooperative.number-%d", n), Code: fmt.Sprintf("WS-%05d", n)},
			Workspace: &boragewick.Workspace{Weight: 1},
		}
		k := boragewick.Object{
			ID: boragewick.NewID(boragewick.KindKey), Kind: boragewick.KindKey,
			Names: boragewick.Names{Path: fmt.Sprintf("/cooperative/number-%d/key", n)},
			Key:   &boragewick.Key{Workspace: w.ID, Hash: boragewick.KeyHash{byte(n), byte(n >> 8), 1}},
		}
		r := boragewick.Object{
			ID: boragewick.NewID(boragewick.KindRate), Kind: boragewick.KindRate,
			Names: boragewick.Names{Path: fmt.Sprintf("/cooperative/number-%d/rate", n)},
			Rate:  &boragewick.Rate{Workspace: w.ID, TokensPerSecond: 100, Burst: 1000},
		}
		plan := boragewick.Plan{ID: boragewick.NewID("plan"), Operator: "ann", Expires: start.Add(time.Hour)}
		for _, o := range []boragewick.Object{w, k, r} {
			plan.Changes = append(plan.Changes, boragewick.Change{Action: boragewick.ActionCreate, Object: o})
		}
		apply(boragewick.Command{Plan: &plan})
		apply(boragewick.Command{Confirm: &boragewick.Confirm{Plan: plan.ID, Operator: "ann"}})
	}
}

// newApplier returns a function that applies commands to the machine.
func newApplier(tb testing.TB, m *Machine) func(c boragewick.Command) {
	index := uint64(0)
	return func(c boragewick.Command) {
		c.At = start
		b, err := boragewick.Encode(c)
		if err != nil {
			tb.Fatal(err)
		}
		index++
		m.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 1, Index: index}, Command: b})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSize reports the bytes in memory and in the snapshot per workspace
// with a key and a rate, at a control replica and at a router.
func BenchmarkSize(b *testing.B) {
	for _, n := range []int{1000, plannedWorkspaces} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				var m Machine
				populate(newApplier(b, &m), n)
				after := heapBytes()
				snapshot, err := m.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(after-before)/float64(n), "control-B/workspace")
				b.ReportMetric(float64(len(snapshot))/float64(n), "snapshot-B/workspace")
				before = heapBytes()
				v, wire := newRouterView(b, &m)
				b.ReportMetric(float64(wire)/float64(n), "wire-B/workspace")
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "router-B/workspace")
				runtime.KeepAlive(v)
				runtime.KeepAlive(&m)
			}
		})
	}
}

// newRouterView returns a router's view of the machine and the encoded size of
// the update that it was built from.
func newRouterView(tb testing.TB, m *Machine) (*view.View, int) {
	updates, _ := m.Follow(boragewick.Revision{})
	encoded, err := boragewick.Encode(updates[0])
	if err != nil {
		tb.Fatal(err)
	}
	var u boragewick.Update
	if err := boragewick.Decode(encoded, &u); err != nil {
		tb.Fatal(err)
	}
	v := &view.View{Clock: boragewick.SystemClock}
	if err := v.Apply(u); err != nil {
		tb.Fatal(err)
	}
	return v, len(encoded)
}

// BenchmarkRestore measures restoring a machine with plannedWorkspaces from the
// bytes of its snapshot.
func BenchmarkRestore(b *testing.B) {
	var m Machine
	populate(newApplier(b, &m), plannedWorkspaces)
	snapshot, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var r Machine
		if err := r.Restore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(snapshot)), "snapshot-B")
}

// BenchmarkConfirm measures storing and confirming one plan.
func BenchmarkConfirm(b *testing.B) {
	var m Machine
	apply := newApplier(b, &m)
	populate(apply, plannedWorkspaces)
	b.ResetTimer()
	for range b.N {
		populate(apply, 1)
	}
}
