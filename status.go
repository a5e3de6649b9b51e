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

// PlanRequest asks for a plan that makes the intent so.
type PlanRequest struct {
	Intent   Intent `cbor:"intent"`
	Operator string `cbor:"operator"`
}

// StatusReply is the state of the system as one control replica knows it.
type StatusReply struct {
	Log       LogStatus        `cbor:"log" json:"log"`
	Revision  Revision         `cbor:"revision" json:"revision"`
	Freshness Freshness        `cbor:"freshness" json:"freshness"`
	Instances []InstanceStatus `cbor:"instances" json:"instances"`
	Endpoints []Endpoint       `cbor:"endpoints" json:"endpoints"`
}

// InstanceStatus is what is in force at one instance that follows.
type InstanceStatus struct {
	Name    string    `cbor:"name" json:"name"`
	InForce Revision  `cbor:"in_force" json:"in_force"`
	Seen    time.Time `cbor:"seen" json:"seen"`
}

// Behind names an instance at which the revision is not yet in force, or
// returns "". While no instance is known, nothing is known to be in force.
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
