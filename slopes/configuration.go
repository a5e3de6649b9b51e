package slopes

import (
	"context"
	"runtime"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/state"
	"github.com/boragewick/boragewick/view"
)

// configurationCosts returns the measurements of storing and distributing the
// configuration and the endpoint directory.
func configurationCosts() []measurement {
	sizes := []int{500, 1000, 2000}
	return []measurement{
		{name: "update: wire, workspaces", unit: unitBytes, per: "workspace, key and rate", sizes: sizes, cost: updateBytes(workspacesUpdate)},
		{name: "update: wire, endpoints", unit: unitBytes, per: "endpoint record", sizes: sizes, cost: updateBytes(endpointsUpdate)},
		{name: "update: decode and apply, workspaces", unit: unitCPU, per: "workspace, key and rate", sizes: sizes, cost: updateTime(workspacesUpdate)},
		{name: "update: decode and apply, endpoints", unit: unitCPU, per: "endpoint record", sizes: sizes, cost: updateTime(endpointsUpdate)},
		{name: "view: memory, workspaces", unit: unitBytes, per: "workspace, key and rate", sizes: sizes, cost: viewMemory(workspacesUpdate)},
		{name: "view: memory, endpoints", unit: unitBytes, per: "endpoint record", sizes: sizes, cost: viewMemory(endpointsUpdate)},
		{name: "state: memory", unit: unitBytes, per: "workspace, key and rate", sizes: sizes, cost: stateMemory},
		{name: "state: snapshot", unit: unitBytes, per: "workspace, key and rate", sizes: sizes, cost: snapshotBytes},
		{name: "state: restore", unit: unitCPU, per: "workspace, key and rate", sizes: sizes, cost: restoreTime},
		{name: "one change at a view, by what it holds", unit: unitCPU, per: "workspace, key and rate", sizes: sizes, cost: changeTime},
		{name: "one confirmation at a replica, by what it holds", unit: unitCPU, per: "workspace, key and rate", sizes: sizes, cost: confirmTime},
		{name: "log: plan and confirmation", unit: unitBytes, per: "plan of 3 objects", sizes: sizes, cost: planBytes},
	}
}

func workspacesUpdate(n int) boragewick.Update {
	u := boragewick.Update{Snapshot: true, Revision: boragewick.Revision{Term: 1, Index: 1}}
	for i := range n {
		u.Objects = append(u.Objects, workspaceObjects(i)...)
	}
	return u
}

func endpointsUpdate(n int) boragewick.Update {
	u := boragewick.Update{Snapshot: true, Revision: boragewick.Revision{Term: 1, Index: 1}}
	for i := range n {
		u.Endpoints = append(u.Endpoints, endpoint(i))
	}
	return u
}

func updateBytes(newUpdate func(n int) boragewick.Update) func(context.Context, int) (float64, error) {
	return func(_ context.Context, n int) (float64, error) {
		b, err := boragewick.Encode(newUpdate(n))
		return float64(len(b)), err
	}
}

// applyToNewView decodes an update and applies it to a new view.
func applyToNewView(b []byte) (*view.View, error) {
	var u boragewick.Update
	if err := boragewick.Decode(b, &u); err != nil {
		return nil, err
	}
	v := &view.View{Clock: boragewick.SystemClock}
	return v, v.Apply(u)
}

func updateTime(newUpdate func(n int) boragewick.Update) func(context.Context, int) (float64, error) {
	return func(_ context.Context, n int) (float64, error) {
		b, err := boragewick.Encode(newUpdate(n))
		if err != nil {
			return 0, err
		}
		return processorTime(func() error {
			_, err := applyToNewView(b)
			return err
		})
	}
}

func viewMemory(newUpdate func(n int) boragewick.Update) func(context.Context, int) (float64, error) {
	return func(_ context.Context, n int) (float64, error) {
		b, err := boragewick.Encode(newUpdate(n))
		if err != nil {
			return 0, err
		}
		size, err := memory(func() (any, error) { return applyToNewView(b) })
		runtime.KeepAlive(b)
		return size, err
	}
}

func stateMemory(_ context.Context, n int) (float64, error) {
	return memory(func() (any, error) { return logWithWorkspaces(n) })
}

func snapshotBytes(_ context.Context, n int) (float64, error) {
	l, err := logWithWorkspaces(n)
	if err != nil {
		return 0, err
	}
	b, err := l.machine.Snapshot()
	return float64(len(b)), err
}

func restoreTime(_ context.Context, n int) (float64, error) {
	l, err := logWithWorkspaces(n)
	if err != nil {
		return 0, err
	}
	b, err := l.machine.Snapshot()
	if err != nil {
		return 0, err
	}
	return processorTime(func() error {
		var m state.Machine
		return m.Restore(b)
	})
}

func planBytes(_ context.Context, n int) (float64, error) {
	l, err := logWithWorkspaces(n)
	if err != nil {
		return 0, err
	}
	return float64(l.bytes), nil
}

// changesPerRun is the number of changes that one run applies.
const changesPerRun = 100

func changeTime(_ context.Context, n int) (float64, error) {
	v := &view.View{Clock: boragewick.SystemClock}
	if err := v.Apply(workspacesUpdate(n)); err != nil {
		return 0, err
	}
	cost, err := processorTime(func() error {
		for i := range changesPerRun {
			u := boragewick.Update{Revision: boragewick.Revision{Term: 1, Index: uint64(i + 2)}, Objects: workspaceObjects(i)[:1]}
			if err := v.Apply(u); err != nil {
				return err
			}
		}
		return nil
	})
	return cost / changesPerRun, err
}

func confirmTime(_ context.Context, n int) (float64, error) {
	l, err := logWithWorkspaces(n)
	if err != nil {
		return 0, err
	}
	cost, err := processorTime(func() error {
		for i := range changesPerRun {
			if err := l.createWorkspace(n + i); err != nil {
				return err
			}
		}
		return nil
	})
	return cost / changesPerRun, err
}
