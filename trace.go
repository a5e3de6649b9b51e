package boragewick

import "time"

// Trace records why a request was routed as it was.
type Trace struct {
	Request   RequestID `json:"request"`
	Workspace ID        `json:"workspace"`
	Route     ID        `json:"route"`
	Arrived   time.Time `json:"arrived"`
	// Admitted is when the workspace's rate allowed the request; zero means
	// refused.
	Admitted time.Time `json:"admitted,omitzero"`
	Attempts []Attempt `json:"attempts"`
	Ended    time.Time `json:"ended,omitzero"`
	// Fault is why the caller got no complete answer.
	Fault *Fault `json:"fault,omitempty"`
}

// Attempt is one attempt to run the request at an endpoint, the first candidate.
type Attempt struct {
	At         time.Time         `json:"at"`
	Candidates []TracedCandidate `json:"candidates"`
	Fault      *Fault            `json:"fault,omitempty"`
}

// TracedCandidate is what was known of a candidate when it was selected.
type TracedCandidate struct {
	Endpoint      string    `json:"endpoint"`
	FailureDomain string    `json:"failure_domain"`
	Matched       int       `json:"matched_blocks"`
	FirstToken    time.Time `json:"first_token"`
	Probed        bool      `json:"probed"`
}

// Try adds an attempt with its candidates. On a nil Trace it does nothing.
func (t *Trace) Try(at time.Time, list []Candidate) {
	if t == nil {
		return
	}
	a := Attempt{At: at}
	for _, c := range list {
		a.Candidates = append(a.Candidates, TracedCandidate{
			Endpoint:      c.Endpoint.Name,
			FailureDomain: c.Endpoint.FailureDomain,
			Matched:       c.Matched,
			FirstToken:    c.FirstToken,
			Probed:        c.Probed,
		})
	}
	t.Attempts = append(t.Attempts, a)
}

// Failed records the error of the last attempt.
func (t *Trace) Failed(err error) {
	if t == nil || err == nil || len(t.Attempts) == 0 {
		return
	}
	f := FaultOf(err)
	t.Attempts[len(t.Attempts)-1].Fault = &f
}

// End records how the request ended.
func (t *Trace) End(at time.Time, err error) {
	t.Ended = at
	if err != nil {
		f := FaultOf(err)
		t.Fault = &f
	}
}
