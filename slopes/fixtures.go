package slopes

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/control"
	"github.com/boragewick/boragewick/ledger"
	"github.com/boragewick/boragewick/state"
)

// start is the base of the timestamps in the measured data.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// localLog is a log that commits immediately, without other replicas.
type localLog struct {
	machine *state.Machine
	index   uint64
	// bytes is the total size of the committed commands.
	bytes int
}

// Propose implements boragewick.Log.
func (l *localLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.index++
	l.bytes += len(command)
	return l.machine.Apply(boragewick.Entry{Revision: boragewick.Revision{Term: 1, Index: l.index}, Command: command}), nil
}

// Barrier implements boragewick.Log.
func (l *localLog) Barrier(context.Context) error { return nil }

// Status implements boragewick.Log.
func (l *localLog) Status() boragewick.LogStatus {
	return boragewick.LogStatus{Leading: true, Term: 1, LeaseUntil: time.Now().Add(time.Minute)}
}

func (l *localLog) commit(c boragewick.Command) error {
	c.At = start
	b, err := boragewick.Encode(c)
	if err != nil {
		return err
	}
	_, err = l.Propose(context.Background(), b)
	return err
}

// newControl returns a control replica that is the only one and leads.
func newControl(l *localLog) *control.Control {
	return &control.Control{
		Log:      l,
		State:    l.machine,
		Clock:    boragewick.SystemClock,
		Logger:   log.NewNopLogger(),
		Rates:    ledger.New(nil),
		LeaseFor: time.Minute,
	}
}

func workspaceID(n int) boragewick.ID {
	return boragewick.ID(fmt.Sprintf("workspace_%016d", n))
}

// workspaceObjects returns the objects of one workspace: the workspace itself, a
// key and a rate.
func workspaceObjects(n int) []boragewick.Object {
	id := workspaceID(n)
	path := fmt.Sprintf("/cooperative/number-%d", n)
	return []boragewick.Object{
		{
			ID: id, Kind: boragewick.KindWorkspace, Revision: 1,
			Names:     boragewick.Names{Path: path, Dotted: fmt.Sprintf("cooperative.number-%d", n), Code: fmt.Sprintf("WS-%05d", n)},
			Workspace: &boragewick.Workspace{Weight: 1},
		},
		{
			ID: boragewick.ID(fmt.Sprintf("key_%016d", n)), Kind: boragewick.KindKey, Revision: 1,
			Names: boragewick.Names{Path: path + "/key"},
			Key:   &boragewick.Key{Workspace: id, Hash: boragewick.KeyHash{byte(n), byte(n >> 8), 1}},
		},
		{
			ID: boragewick.ID(fmt.Sprintf("rate_%016d", n)), Kind: boragewick.KindRate, Revision: 1,
			Names: boragewick.Names{Path: path + "/rate"},
			Rate:  &boragewick.Rate{Workspace: id, TokensPerSecond: 1 << 30, Burst: 1 << 40},
		},
	}
}

// logWithWorkspaces returns a log whose state machine holds the given number of
// workspaces.
func logWithWorkspaces(workspaces int) (*localLog, error) {
	l := &localLog{machine: &state.Machine{}}
	for n := range workspaces {
		if err := l.createWorkspace(n); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// createWorkspace commits a plan that creates a workspace, and its confirmation.
func (l *localLog) createWorkspace(n int) error {
	plan := boragewick.Plan{ID: boragewick.ID(fmt.Sprintf("plan_%d", n)), Operator: "ann", Expires: start.Add(time.Hour)}
	for _, o := range workspaceObjects(n) {
		o.Revision = 0
		plan.Changes = append(plan.Changes, boragewick.Change{Action: boragewick.ActionCreate, Object: o})
	}
	if err := l.commit(boragewick.Command{Plan: &plan}); err != nil {
		return err
	}
	return l.commit(boragewick.Command{Confirm: &boragewick.Confirm{Plan: plan.ID, Operator: "ann"}})
}

// endpoint returns the record of model endpoint n.
func endpoint(n int) boragewick.Endpoint {
	return boragewick.Endpoint{
		Name:          fmt.Sprintf("region-%d-runner-%04d", n%7, n),
		Agent:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n % 7), byte(n >> 8), byte(n)}), 7400),
		Pool:          fmt.Sprintf("pool-%d", n%5),
		Kind:          boragewick.EndpointModel,
		FailureDomain: fmt.Sprintf("region-%d-domain-%d", n%7, n%23),
		Region:        fmt.Sprintf("region-%d", n%7),
		Weight:        1,
		Models:        []boragewick.Model{model(n)},
		Incarnation:   boragewick.Incarnation(fmt.Sprintf("inc_%016d", n)),
	}
}

// model returns the model of endpoint n.
func model(n int) boragewick.Model {
	return boragewick.Model{Name: fmt.Sprintf("model-%d", n%5), Weights: "2026-01-01"}
}

// blocks returns the hashes of a prompt of n blocks.
func blocks(seed, n int) []boragewick.BlockHash {
	list := make([]boragewick.BlockHash, n)
	for i := range list {
		list[i] = boragewick.BlockHash(uint64(seed*n+i+1) * 0x9e3779b97f4a7c15)
	}
	return list
}
