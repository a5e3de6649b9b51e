package boragewick

import (
	"net/netip"
	"time"
)

// NodeSettings are the settings of one process of a hosted deployment.
type NodeSettings struct {
	Name          string
	FailureDomain string
	// Callers, Control and Agent select the services that the process runs: the
	// router for callers, the control replica, and the agent beside an engine.
	Callers bool
	Control bool
	Agent   bool

	CallerAddr    netip.AddrPort
	ReadinessAddr netip.AddrPort
	OperatorAddr  netip.AddrPort
	EngineAddr    netip.AddrPort
	// LinkAddr is the link address of this process, and Seeds are those of a
	// few control replicas.
	LinkAddr netip.AddrPort
	Seeds    []netip.AddrPort
	// AgentPort is the link port of all agents.
	AgentPort uint16
	// FirstStart reports whether the whole deployment starts for the first time.
	FirstStart bool
	// DataDir is the data directory of the control replica; empty without a
	// disk.
	DataDir string
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Heartbeat is the interval at which endpoints register.
	Heartbeat time.Duration
	// TolerateLost is the number of control replicas that may be lost at once.
	TolerateLost int
	// CatchUp is how long a replica that is new or back counts as lost. It is also the time within
	// which the group must no longer rely on a replica that is gone. Zero means that it isn't stated.
	CatchUp time.Duration
	// Grace is the time between the stop signal and the kill.
	Grace time.Duration
	// OrderLease is the minimum time between the orders of two leaders.
	OrderLease time.Duration
	// WeightsGracePeriod is the time after new weights are named within which
	// requests must start to use them.
	WeightsGracePeriod time.Duration
	// RetryFraction and RetryBurst bound the retries of the whole deployment.
	RetryFraction float64
	RetryBurst    float64
	// RateSlack is the number of tokens by which a workspace may exceed its rate
	// within the window over which the rate is checked.
	RateSlack uint64
	// HoldRequests makes routers hold and refuse requests while engines lack room, as the
	// deployment's requests compete for them.
	HoldRequests bool
	// RateOverage is the fraction of its rate and burst by which a workspace may exceed
	// them within RateWindow, the window over which the rate is checked.
	RateOverage float64
	RateWindow  time.Duration
}
