package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/state"
)

// answerBytes is the size of a stored answer.
const answerBytes = 256

// claimCosts returns the measurements of the claims of unrepeatable requests.
func claimCosts() []measurement {
	sizes := []int{500, 1000, 2000}
	return []measurement{
		{name: "claim and settlement: log", unit: unitBytes, per: "request", sizes: sizes, cost: claimBytes},
		{name: "claim and settlement: apply at a replica", unit: unitCPU, per: "request", sizes: sizes, cost: claimTime},
		{name: "claim: memory of the record", unit: unitBytes, per: "request", sizes: sizes, cost: claimMemory},
	}
}

// logWithClaims returns a log with size claims, all settled.
func logWithClaims(size int) (*localLog, error) {
	l := &localLog{machine: &state.Machine{}}
	for n := range size {
		c := boragewick.Claim{
			Workspace: workspaceID(n),
			Key:       fmt.Sprintf("order-%d", n),
			Request:   boragewick.RequestID(fmt.Sprintf("req_%016d", n)),
			Endpoint:  endpoint(n).Name,
			Agent:     endpoint(n).Incarnation,
			Deadline:  start.Add(time.Minute),
		}
		if err := l.commit(boragewick.Command{Claim: &c}); err != nil {
			return nil, err
		}
		s := boragewick.Settlement{
			Workspace: c.Workspace, Key: c.Key, Request: c.Request, Attempt: 1, State: boragewick.ClaimDone,
			Answer: &boragewick.StoredAnswer{Head: boragewick.Head{Status: 200}, Body: make([]byte, answerBytes)},
		}
		if err := l.commit(boragewick.Command{Settle: &s}); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func claimBytes(_ context.Context, size int) (float64, error) {
	l, err := logWithClaims(size)
	if err != nil {
		return 0, err
	}
	return float64(l.bytes), nil
}

func claimTime(_ context.Context, size int) (float64, error) {
	return processorTime(func() error {
		_, err := logWithClaims(size)
		return err
	})
}

func claimMemory(_ context.Context, size int) (float64, error) {
	return memory(func() (any, error) { return logWithClaims(size) })
}
