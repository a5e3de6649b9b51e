package boragewick

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotRun marks errors that prove that a request did not run.
var ErrNotRun = errors.New("not run")

// Errors of requests and links.
var (
	ErrMalformed       = errors.New("malformed request")
	ErrTooLarge        = errors.New("request too large")
	ErrUnknownModel    = errors.New("unknown model")
	ErrUnknownRoute    = errors.New("unknown route")
	ErrMissingKey      = errors.New("missing key")
	ErrMalformedKey    = errors.New("malformed key")
	ErrUnknownKey      = errors.New("unknown or withdrawn key")
	ErrForbiddenRoute  = errors.New("route not open to this workspace")
	ErrRateExceeded    = errors.New("rate exceeded")
	ErrOverloaded      = errors.New("overloaded")
	ErrStaleConfig     = errors.New("configuration not fresh")
	ErrDraining        = errors.New("leaving")
	ErrNoEndpoint      = errors.New("no endpoint")
	ErrEndpointFailed  = errors.New("endpoint failed")
	ErrWrongAnswer     = errors.New("answer does not match its request")
	ErrTimeout         = errors.New("deadline passed")
	ErrCanceled        = errors.New("canceled")
	ErrLinkLost        = errors.New("link lost")
	ErrProtocol        = errors.New("protocol violation")
	ErrUnknownMethod   = errors.New("unknown method")
	ErrUnknownService  = errors.New("unknown service")
	ErrFenced          = errors.New("fencing number too old")
	ErrClaimTaken      = errors.New("claim already taken")
	ErrKeyReused       = errors.New("idempotency key reused with another request")
	ErrOutcomeUnknown  = errors.New("outcome unknown")
	ErrUnauthenticated = errors.New("operator token missing or wrong")
	ErrQuarantined     = errors.New("in quarantine")
	ErrUnknownOrigin   = errors.New("unknown where the stream began")
)

// Errors of the configuration and of the replicated log.
var (
	ErrBadName        = errors.New("bad name")
	ErrNameTaken      = errors.New("name taken")
	ErrUnknownObject  = errors.New("unknown object")
	ErrObjectInUse    = errors.New("object in use")
	ErrBadIntent      = errors.New("bad intent")
	ErrBadSettings    = errors.New("bad settings")
	ErrUnknownPlan    = errors.New("unknown plan")
	ErrPlanStale      = errors.New("plan stale")
	ErrPlanExpired    = errors.New("plan expired")
	ErrPlanDecided    = errors.New("plan already decided")
	ErrNotLeader      = errors.New("not the leader")
	ErrStorage        = errors.New("storage failed")
	ErrCorrupt        = errors.New("stored data damaged")
	ErrBadMembership  = errors.New("membership change not allowed")
	ErrLastReady      = errors.New("last ready endpoint of a route")
	ErrTooManyLoads   = errors.New("too many loads at once")
	ErrUnknownCommand = errors.New("unknown command")
)

// sentinel pairs a sentinel error with its code.
type sentinel struct {
	code string
	err  error
}

// sentinels lists the code of each error on the wire and in answers to callers.
// An error that matches several takes the code of the first.
var sentinels = []sentinel{
	{"malformed", ErrMalformed},
	{"too_large", ErrTooLarge},
	{"unknown_model", ErrUnknownModel},
	{"unknown_route", ErrUnknownRoute},
	{"missing_key", ErrMissingKey},
	{"malformed_key", ErrMalformedKey},
	{"unknown_key", ErrUnknownKey},
	{"forbidden_route", ErrForbiddenRoute},
	{"rate_exceeded", ErrRateExceeded},
	{"overloaded", ErrOverloaded},
	{"stale_configuration", ErrStaleConfig},
	{"leaving", ErrDraining},
	{"no_endpoint", ErrNoEndpoint},
	{"endpoint_failed", ErrEndpointFailed},
	{"wrong_answer", ErrWrongAnswer},
	{"timeout", ErrTimeout},
	{"canceled", ErrCanceled},
	{"link_lost", ErrLinkLost},
	{"protocol", ErrProtocol},
	{"unknown_method", ErrUnknownMethod},
	{"unknown_service", ErrUnknownService},
	{"fenced", ErrFenced},
	{"claim_taken", ErrClaimTaken},
	{"idempotency_key_reused", ErrKeyReused},
	{"outcome_unknown", ErrOutcomeUnknown},
	{"unauthenticated", ErrUnauthenticated},
	{"quarantined", ErrQuarantined},
	{"bad_name", ErrBadName},
	{"name_taken", ErrNameTaken},
	{"unknown_object", ErrUnknownObject},
	{"object_in_use", ErrObjectInUse},
	{"bad_intent", ErrBadIntent},
	{"bad_settings", ErrBadSettings},
	{"unknown_plan", ErrUnknownPlan},
	{"plan_stale", ErrPlanStale},
	{"plan_expired", ErrPlanExpired},
	{"plan_decided", ErrPlanDecided},
	{"not_leader", ErrNotLeader},
	{"storage", ErrStorage},
	{"corrupt", ErrCorrupt},
	{"bad_membership", ErrBadMembership},
	{"last_ready", ErrLastReady},
	{"too_many_loads", ErrTooManyLoads},
	{"unknown_command", ErrUnknownCommand},
	{"bad_table", ErrBadTable},
}

// CodeInternal is the code of errors without a sentinel.
const CodeInternal = "internal"

// Fault is the wire form of an error.
type Fault struct {
	Code    string `cbor:"code" json:"code"`
	Message string `cbor:"message" json:"message"`
	NotRun  bool   `cbor:"not_run,omitempty" json:"not_run,omitempty"`
	// RetryAt is the time from which a retry can succeed; zero means unknown.
	RetryAt time.Time `cbor:"retry_at,omitzero" json:"retry_at,omitzero"`
}

// FaultOf returns the wire form of the error.
func FaultOf(err error) Fault {
	f := Fault{Code: CodeOf(err), Message: err.Error(), NotRun: errors.Is(err, ErrNotRun)}
	var retry *RetryError
	if errors.As(err, &retry) {
		f.RetryAt = retry.At
	}
	return f
}

// Err returns an error that errors.Is matches with the fault's sentinel.
func (f Fault) Err() error {
	err := errors.Newf("%s", f.Message)
	for _, s := range sentinels {
		if s.code == f.Code {
			err = errors.Mark(err, s.err)
		}
	}
	if f.NotRun {
		err = NotRun(err)
	}
	if !f.RetryAt.IsZero() {
		err = &RetryError{At: f.RetryAt, Err: err}
	}
	return err
}

// CodeOf returns the code of the first sentinel that the error matches.
func CodeOf(err error) string {
	for _, s := range sentinels {
		if errors.Is(err, s.err) {
			return s.code
		}
	}
	return CodeInternal
}

// RetryError adds to an error the time from which a retry can succeed.
type RetryError struct {
	At  time.Time
	Err error
}

// Error returns the text of the wrapped error.
func (e *RetryError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *RetryError) Unwrap() error { return e.Err }

// ContextError returns why ctx is done, marked with ErrTimeout or ErrCanceled.
func ContextError(ctx context.Context) error {
	err := context.Cause(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.Mark(err, ErrTimeout)
	}
	if errors.Is(err, context.Canceled) {
		return errors.Mark(err, ErrCanceled)
	}
	return err
}
