package boragewick

import "time"

// Series identifies the requests for which a service level is tracked.
type Series struct {
	Workspace ID     `cbor:"workspace" json:"workspace"`
	Route     ID     `cbor:"route" json:"route"`
	Model     string `cbor:"model" json:"model"`
}

// Objective is one objective of a service level.
type Objective string

// The objectives.
const (
	// ObjectiveFirstToken counts requests whose first token came in time.
	ObjectiveFirstToken Objective = "first_token"
	// ObjectiveBetweenTokens counts tokens that followed the previous one in time.
	ObjectiveBetweenTokens Objective = "between_tokens"
	// ObjectiveAvailability counts accepted requests that got a complete answer.
	ObjectiveAvailability Objective = "availability"
	// ObjectiveRefusals counts requests that weren't refused though the
	// workspace was within its rate.
	ObjectiveRefusals Objective = "refusals"
)

// ObjectiveNames lists the objectives.
var ObjectiveNames = [...]Objective{
	ObjectiveFirstToken, ObjectiveBetweenTokens, ObjectiveAvailability, ObjectiveRefusals,
}

// Cause is a reason why part of an error budget was used.
type Cause string

// The causes.
const (
	CauseQueue    Cause = "queue"
	CausePrefill  Cause = "prefill"
	CauseDecode   Cause = "decode"
	CauseRetries  Cause = "retries"
	CauseRefusal  Cause = "refusal"
	CauseEndpoint Cause = "endpoint_error"
)

// Causes lists the causes.
var Causes = [...]Cause{CauseQueue, CausePrefill, CauseDecode, CauseRetries, CauseRefusal, CauseEndpoint}

// Objectives are the settings of the service level. Zero fields take defaults.
type Objectives struct {
	// FirstTokenWithin and BetweenTokensWithin are the latency limits.
	FirstTokenWithin    time.Duration
	BetweenTokensWithin time.Duration
	// InTime is the share of first tokens and of gaps between tokens that must
	// be in time; Available and Admitted are the shares for the availability and
	// refusals objectives. All are below 1.
	InTime    float64
	Available float64
	Admitted  float64
}

// Defaults of Objectives.
const (
	defaultFirstTokenWithin    = 890 * time.Millisecond
	defaultBetweenTokensWithin = 64 * time.Millisecond
	defaultInTime              = 0.95
	defaultAvailable           = 0.999
	defaultAdmitted            = 0.999
)

// WithDefaults returns the objectives with defaults in place of zeros.
func (o Objectives) WithDefaults() Objectives {
	setDefault(&o.FirstTokenWithin, defaultFirstTokenWithin)
	setDefault(&o.BetweenTokensWithin, defaultBetweenTokensWithin)
	setDefault(&o.InTime, defaultInTime)
	setDefault(&o.Available, defaultAvailable)
	setDefault(&o.Admitted, defaultAdmitted)
	return o
}

// Target returns the share of good events that the objective asks for.
func (o Objectives) Target(name Objective) float64 {
	switch name {
	case ObjectiveAvailability:
		return o.Available
	case ObjectiveRefusals:
		return o.Admitted
	default:
		return o.InTime
	}
}

// Watcher tracks the service level of all requests.
type Watcher interface {
	// Watch tracks one request that arrived at the given time.
	Watch(s Series, arrived time.Time) Watch
}

// Watch tracks one request. Its methods are called from one goroutine.
type Watch interface {
	// Sent records that an endpoint has started the request. It is called again
	// for each retry.
	Sent(at time.Time)
	// Token records that the caller got a token.
	Token(at time.Time)
	// Done records how the request ended; nil means that the answer was complete.
	Done(at time.Time, err error)
}

// ServiceLevel is the measured service level of a series.
type ServiceLevel struct {
	Series
	// Name is the name by which operators know the workspace.
	Name     string `json:"name"`
	Requests uint64 `json:"requests"`
	// FirstTokenP95 and BetweenTokensP95 are in milliseconds.
	FirstTokenP95    float64      `json:"first_token_p95_ms"`
	BetweenTokensP95 float64      `json:"between_tokens_p95_ms"`
	Burns            []Burn       `json:"burns"`
	Causes           []CauseCount `json:"causes"`
}

// Burn reports how fast an objective's error budget is used.
type Burn struct {
	Objective Objective `json:"objective"`
	Total     uint64    `json:"total"`
	Bad       uint64    `json:"bad"`
	// BudgetLeft is the unused share of the budget of three days; it is
	// negative when more than the budget is used.
	BudgetLeft float64     `json:"budget_left"`
	Rates      []BurnRates `json:"rates"`
}

// BurnRates are the burn rates of a pair of windows. At rate 1 the budget
// lasts exactly as long as its period.
type BurnRates struct {
	Windows string  `json:"windows"`
	Short   float64 `json:"short"`
	Long    float64 `json:"long"`
	// Firing reports whether both rates exceed the pair's limit.
	Firing bool `json:"firing"`
}

// CauseCount is the number of bad events with one cause within three days.
type CauseCount struct {
	Cause Cause  `json:"cause"`
	Count uint64 `json:"count"`
}

// BurnReply holds the service-level counts of one router.
type BurnReply struct {
	// Counts is an encoded meter.
	Counts     []byte     `json:"counts"`
	Objectives Objectives `json:"objectives"`
	// First is the objective by which the report is ordered.
	First Objective `json:"first"`
}
