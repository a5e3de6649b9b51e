package boragewick

import (
	"context"
	"time"
)

// OrderKind is the kind of change that an order makes.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad loads a model, a version of its weights or an adapter.
	OrderLoad OrderKind = "load"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
)

// Order instructs an engine to change what it serves.
type Order struct {
	Fencing
	Endpoint string `cbor:"endpoint" json:"endpoint"`
	// Incarnation is the run of the agent to which the order applies.
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
	Kind        OrderKind   `cbor:"kind" json:"kind"`
	Model       Model       `cbor:"model,omitzero" json:"model,omitzero"`
	Role        string      `cbor:"role,omitempty" json:"role,omitempty"`
	// Deadline is when the order is abandoned.
	Deadline time.Time `cbor:"deadline" json:"deadline"`
}

// OrderRecord is the record of the newest order to an endpoint in the replicated
// log.
type OrderRecord struct {
	Order Order `cbor:"order"`
	// Done reports whether there is an outcome; Fault is nil after success.
	Done  bool   `cbor:"done,omitempty"`
	Fault *Fault `cbor:"fault,omitempty"`
}

// OrderOutcome is the outcome of an order.
type OrderOutcome struct {
	Endpoint string `cbor:"endpoint"`
	Fencing
	Fault *Fault `cbor:"fault,omitempty"`
}

// Fencing is the position of an order in the sequence of all orders.
type Fencing struct {
	// Fence is the fencing number of the leader that issues the order.
	Fence uint64 `cbor:"fence" json:"fence"`
	// Number counts the orders of one fencing number.
	Number uint64 `cbor:"number" json:"number"`
}

// Less reports whether f is older than other.
func (f Fencing) Less(other Fencing) bool {
	if f.Fence != other.Fence {
		return f.Fence < other.Fence
	}
	return f.Number < other.Number
}

// OrderTaker carries out orders.
type OrderTaker interface {
	// Order returns nil once the order is carried out. It returns ErrFenced,
	// marked not run, if there was a newer order.
	Order(ctx context.Context, o Order) error
}

// FencedTaker is an OrderTaker that must know the newest order before it accepts
// any.
type FencedTaker interface {
	OrderTaker
	// SetNewestFencing records the newest order that the control replicas have
	// agreed on.
	SetNewestFencing(f Fencing)
}

// OrderTakerFunc adapts a function to an OrderTaker.
type OrderTakerFunc func(ctx context.Context, o Order) error

// Order calls f(ctx, o).
func (f OrderTakerFunc) Order(ctx context.Context, o Order) error { return f(ctx, o) }
