package boragewick

import "time"

// Intent is the desired state that an operator submits.
type Intent struct {
	Items []IntentItem `cbor:"items" json:"items"`
}

// IntentItem names one object and the fields that it should have. An object
// that does not exist is created; fields that are not given stay as they are.
type IntentItem struct {
	Kind Kind `cbor:"kind" json:"kind"`
	// Ref is a reference in any scheme.
	Ref    string  `cbor:"ref" json:"ref"`
	Remove bool    `cbor:"remove,omitempty" json:"remove,omitempty"`
	Fields []Field `cbor:"fields,omitempty" json:"fields,omitempty"`
}

// Field is one field of an object as text.
type Field struct {
	Name  string `cbor:"name" json:"name"`
	Value string `cbor:"value" json:"value"`
}

// Action is what a plan does to an object.
type Action string

// The actions.
const (
	ActionCreate Action = "create"
	ActionChange Action = "change"
	ActionRename Action = "rename"
	ActionRemove Action = "remove"
)

// Change is what a plan does to one object.
type Change struct {
	Action Action      `cbor:"action" json:"action"`
	Fields []FieldDiff `cbor:"fields" json:"fields"`
	// Base is the revision of the object that the change was planned against;
	// zero on creation.
	Base uint64 `cbor:"base" json:"base"`
	// Object is the object after the change, or before it on removal.
	Object Object `cbor:"object" json:"object"`
}

// FieldDiff is one field before and after a change.
type FieldDiff struct {
	Name   string `cbor:"name" json:"name"`
	Before string `cbor:"before" json:"before"`
	After  string `cbor:"after" json:"after"`
}

// Plan is a stored proposal that takes effect when it is confirmed.
type Plan struct {
	ID       ID        `cbor:"id" json:"id"`
	Operator string    `cbor:"operator" json:"operator"`
	Created  time.Time `cbor:"created" json:"created"`
	// Expires is when the plan can no longer be confirmed.
	Expires  time.Time `cbor:"expires" json:"expires"`
	Changes  []Change  `cbor:"changes" json:"changes"`
	Warnings []string  `cbor:"warnings,omitempty" json:"warnings,omitempty"`
}

// NewKey is a caller's key, shown once with the plan that creates it.
type NewKey struct {
	ID     ID     `cbor:"id" json:"id"`
	Names  Names  `cbor:"names" json:"names"`
	Secret string `cbor:"secret" json:"secret"`
}

// PlanReply answers an intent.
type PlanReply struct {
	Plan Plan     `cbor:"plan" json:"plan"`
	Keys []NewKey `cbor:"keys,omitempty" json:"keys,omitempty"`
}

// Decision is the single, final decision on a plan.
type Decision struct {
	Plan     ID        `cbor:"plan" json:"plan"`
	Operator string    `cbor:"operator" json:"operator"`
	At       time.Time `cbor:"at" json:"at"`
	// Revision is the configuration that the plan produced; zero if it failed.
	Revision Revision `cbor:"revision" json:"revision"`
	Fault    *Fault   `cbor:"fault,omitempty" json:"fault,omitempty"`
}

// History is one past change of an object.
type History struct {
	Plan     ID        `cbor:"plan" json:"plan"`
	Operator string    `cbor:"operator" json:"operator"`
	At       time.Time `cbor:"at" json:"at"`
	Action   Action    `cbor:"action" json:"action"`
	Revision Revision  `cbor:"revision" json:"revision"`
}
