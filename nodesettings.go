package boragewick

import (
	"net/netip"
	"time"
)

// NodeSettings are the settings of one process of a hosted deployment.
type NodeSettings struct {
	Name          string
	FailureDomain string
	// Callers, Control and Beside tell which services the process runs: towards
	// callers, the control replica, and the agent beside an engine.
	Callers bool
	Control bool
	Beside  bool

	CallerAddr    netip.AddrPort
	ReadinessAddr netip.AddrPort
	OperatorAddr  netip.AddrPort
	EngineAddr    netip.AddrPort
	// Links is the address of the process's own links, and Seeds those of a few
	// control replicas.
	Links netip.AddrPort
	Seeds []netip.AddrPort
	// AgentPort is the port of the links of all agents.
	AgentPort uint16
	// FirstStart tells that the whole deployment starts for the first time.
	FirstStart bool
	// Data is the folder of the control replica; empty without a disk.
	Data string
	// MemoryBytes is the process's limit.
	MemoryBytes int64
	// Heartbeat is the interval at which endpoints register.
	Heartbeat time.Duration
	// Tolerate is the number of control replicas that may be lost at once.
	Tolerate int
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// OrderLease is how long the orders of two leaders must be apart.
	OrderLease time.Duration
	// WeightsBound is the time within which requests must begin on newly named
	// weights.
	WeightsBound time.Duration
	// RetryFraction and RetryBurst bound the retries of the whole deployment.
	RetryFraction float64
	RetryBurst    float64
	// RateSlack is the number of tokens by which a workspace may exceed its
	// rate within the window that is judged.
	RateSlack uint64
}
