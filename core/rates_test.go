package core

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/ledger"
	"github.com/boragewick/boragewick/registry"
)

// leasedReplica leads with a lease that does not end.
type leasedReplica struct{ Replica }

func (leasedReplica) Status() boragewick.LogStatus {
	return boragewick.LogStatus{Leading: true, Term: 3, LeaseUntil: time.Now().Add(time.Hour)}
}

func (leasedReplica) Barrier(context.Context) error { return nil }

// TestNoGrantsAfterRun guards against grants of a leader that hands over: its lease has not ended
// by then, and its successor owns the rates at once.
func TestNoGrantsAfterRun(t *testing.T) {
	clock := boragewick.SystemClock
	rates := ledger.New(clock)
	c := &Core{
		Replica: leasedReplica{}, Rates: rates, Clock: clock, Logger: log.NewNopLogger(),
		Registry: &registry.Registry{Clock: clock}, Directory: &discovery.Directory{Clock: clock},
	}
	if !c.syncRates(t.Context()) {
		t.Fatal("does not own the rates")
	}
	rates.SetRates([]boragewick.Rate{{Workspace: "w", TokensPerSecond: 1, Burst: 10}})
	request := func(least uint64) error {
		_, err := c.grant(t.Context(), boragewick.GrantRequest{Router: "r", Workspace: "w", Number: 1, Least: least})
		return err
	}
	if err := request(10); err != nil {
		t.Fatal(err)
	}
	c.endRates()
	if err := request(1); !errors.Is(err, boragewick.ErrNotLeader) {
		t.Errorf("granted after the end: %v", err)
	}
	if _, err := rates.Grant(t.Context(), boragewick.GrantRequest{Router: "s", Workspace: "w", Number: 1, Least: 1}); !errors.Is(err, boragewick.ErrNotLeader) {
		t.Errorf("the ledger grants after the end: %v", err)
	}
}
