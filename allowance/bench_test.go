package allowance_test

import (
	"context"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/allowance"
	"github.com/boragewick/boragewick/ledger"
)

// BenchmarkReserveHeld reserves tokens that the router already holds.
func BenchmarkReserveHeld(b *testing.B) {
	l := ledger.New(nil)
	l.SetRates([]boragewick.Rate{{Workspace: "ws_a", TokensPerSecond: 1 << 39, Burst: 1 << 40}})
	l.Start(false)
	ctx, cancel := context.WithCancel(b.Context())
	a := allowance.New(l, "r1", "inc_1", nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	deadline := time.Now().Add(time.Hour)
	if _, err := a.Reserve(ctx, "ws_a", 1, deadline); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Reserve(ctx, "ws_a", 1, deadline); err != nil {
			b.Fatal(err)
		}
	}
	cancel()
	<-done
}
