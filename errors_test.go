package boragewick

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestFaultKeepsSentinel(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := map[string]struct {
		err     error
		code    string
		outcome Outcome
	}{
		"plain":   {errors.Wrap(ErrOverloaded, "endpoint a"), "overloaded", OutcomeUnknown},
		"not run": {NotRun(errors.Wrap(ErrDraining, "endpoint a")), "leaving", OutcomeNotRun},
		"retry":   {NotRun(&RetryError{At: at, Err: ErrRateExceeded}), "rate_exceeded", OutcomeNotRun},
		"other":   {errors.New("something else"), CodeInternal, OutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := FaultOf(FaultOf(tt.err).Err())
			if got.Code != tt.code {
				t.Errorf("code %s, want %s", got.Code, tt.code)
			}
			if OutcomeOf(FaultOf(tt.err).Err()) != tt.outcome {
				t.Errorf("outcome %s, want %s", OutcomeOf(tt.err), tt.outcome)
			}
			var retry *RetryError
			if errors.As(tt.err, &retry) && !got.RetryAt.Equal(at) {
				t.Errorf("retry at %s, want %s", got.RetryAt, at)
			}
		})
	}
}

func TestCodesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range sentinels {
		if seen[s.code] {
			t.Errorf("duplicate code %s", s.code)
		}
		seen[s.code] = true
	}
}
