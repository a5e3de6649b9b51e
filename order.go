package boragewick

import (
	"context"
	"time"
)

// OrderKind is what an order changes.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad loads a model, a version of its weights or an adapter.
	OrderLoad OrderKind = "load"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
)

// Order tells an engine what to serve.
type Order struct {
	Fencing
	Endpoint string `cbor:"endpoint" json:"endpoint"`
	// Incarnation is the run of the agent that the order is for.
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
	Kind        OrderKind   `cbor:"kind" json:"kind"`
	Model       Model       `cbor:"model,omitzero" json:"model,omitzero"`
	Role        string      `cbor:"role,omitempty" json:"role,omitempty"`
	// Deadline is when the order is given up.
	Deadline time.Time `cbor:"deadline" json:"deadline"`
}

// OrderRecord is what the log keeps of the newest order to an endpoint.
type OrderRecord struct {
	Order Order `cbor:"order"`
	// Done tells that there is an outcome; Fault is nil after success.
	Done  bool   `cbor:"done,omitempty"`
	Fault *Fault `cbor:"fault,omitempty"`
}

// OrderOutcome tells how an order ended.
type OrderOutcome struct {
	Endpoint string `cbor:"endpoint"`
	Fencing
	Fault *Fault `cbor:"fault,omitempty"`
}

// Fencing places an order among all others.
type Fencing struct {
	// Fence is the fencing number of the leader that gives the order.
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
	// marked not run, after a newer order.
	Order(ctx context.Context, o Order) error
}

// FencedTaker is an OrderTaker that must know the newest order first.
type FencedTaker interface {
	OrderTaker
	// Learn tells the newest order that the control replicas have agreed on.
	Learn(f Fencing)
}

// OrderTakerFunc adapts a function to an OrderTaker.
type OrderTakerFunc func(ctx context.Context, o Order) error

// Order calls f(ctx, o).
func (f OrderTakerFunc) Order(ctx context.Context, o Order) error { return f(ctx, o) }
