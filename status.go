package boragewick

import "time"

// GetRequest asks for the objects of a kind, or for one of them with its history.
type GetRequest struct {
	Kind Kind   `cbor:"kind"`
	Ref  string `cbor:"ref,omitempty"`
}

// GetReply lists objects ordered by ID.
type GetReply struct {
	Objects []Object  `cbor:"objects" json:"objects"`
	History []History `cbor:"history,omitempty" json:"history,omitempty"`
}

// PlanRequest asks for a plan that implements the intent.
type PlanRequest struct {
	Intent   Intent `cbor:"intent"`
	Operator string `cbor:"operator"`
}

// StatusReply is the state of the system as seen by one control replica.
type StatusReply struct {
	Log       LogStatus        `cbor:"log" json:"log"`
	Revision  Revision         `cbor:"revision" json:"revision"`
	Freshness Freshness        `cbor:"freshness" json:"freshness"`
	Instances []InstanceStatus `cbor:"instances" json:"instances"`
	Endpoints []EndpointStatus `cbor:"endpoints" json:"endpoints"`
}

// EndpointStatus is an endpoint of the directory with its last reported load.
type EndpointStatus struct {
	Endpoint
	Load EndpointLoad `cbor:"load" json:"load"`
}

// EndpointLoad is the load of an endpoint that its agent reports with each
// announcement.
type EndpointLoad struct {
	// Queued and Running count requests at the agent and in the engine.
	Queued  int `cbor:"queued" json:"queued"`
	Running int `cbor:"running" json:"running"`
	// PromptTokens and CachedTokens are totals over all requests since the
	// agent's start.
	PromptTokens uint64 `cbor:"prompt_tokens" json:"prompt_tokens"`
	CachedTokens uint64 `cbor:"cached_tokens" json:"cached_tokens"`
}

// HitRate is the share of prompt tokens that were cached, from 0 to 1.
func (l EndpointLoad) HitRate() float64 {
	return float64(l.CachedTokens) / float64(max(1, l.PromptTokens))
}

// InstanceStatus is the revision in force at one instance that follows the
// configuration.
type InstanceStatus struct {
	Name    string    `cbor:"name" json:"name"`
	InForce Revision  `cbor:"in_force" json:"in_force"`
	Seen    time.Time `cbor:"seen" json:"seen"`
}

// Behind returns the name of an instance at which the revision is not yet in
// force, or "". While no instance is known, no revision is known to be in force,
// and the result is not empty.
func (s *StatusReply) Behind(r Revision) string {
	if len(s.Instances) == 0 {
		return "any router: the leader knows none"
	}
	for _, i := range s.Instances {
		if i.InForce.Less(r) {
			return i.Name
		}
	}
	return ""
}
