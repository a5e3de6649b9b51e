package hosting

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/core"
	"github.com/boragewick/boragewick/discovery"
	"github.com/boragewick/boragewick/disk"
	"github.com/boragewick/boragewick/httpserver"
	"github.com/boragewick/boragewick/ledger"
	"github.com/boragewick/boragewick/linkserver"
	"github.com/boragewick/boragewick/quorum"
	"github.com/boragewick/boragewick/registry"
	"github.com/boragewick/boragewick/storewatch"
	"github.com/boragewick/boragewick/weights"
	"github.com/boragewick/boragewick/ws"
)

// electionTimeout and heartbeat are those of the log. A round between failure
// domains and a sync to a disk take some ten milliseconds together; a disk that
// is thirty times slower still answers within the timeout.
const (
	electionTimeout = 500 * time.Millisecond
	heartbeat       = 60 * time.Millisecond
)

// slackShare is the reciprocal of the part of the allowed excess over a rate that
// is granted beyond each burst, and of the part that a new owner of the rates
// starts with. Two changes of the owner within one window stay within the whole.
const slackShare = 3

// controlDrain is how long calls may go on when a control process stops.
const controlDrain = time.Second

// founderPrefix begins the identity of the disk of a first voter, which all of
// them must know before any of them starts. Its end tells the founders apart,
// as the identity also spreads their election timeouts. A disk that was lost
// comes back with a random identity.
const founderPrefix = "founder "

// buildControl prepares the control replica and what serves operators,
// endpoints and other processes.
func (n *Node) buildControl() error {
	machine := &registry.Registry{}
	directory := &discovery.Directory{Clock: n.clock, Heartbeat: n.Settings.Heartbeat}
	rates := ledger.New(n.clock)
	rates.Headroom = n.Settings.RateSlack / slackShare
	c := &core.Core{
		Self:       n.Settings.Links,
		Seeds:      n.Settings.Seeds,
		Tolerate:   n.Settings.Tolerate,
		Registry:   machine,
		Directory:  directory,
		Decoder:    n.Decoder,
		Peers:      n.peers,
		Rates:      rates,
		BurstSlack: n.Settings.RateSlack / slackShare,
		Clock:      n.clock,
		Logger:     n.Logger,
	}
	links := &linkserver.Server{Hello: n.hello, Transport: ws.Transport{InsecureOK: true}, Logger: n.Logger}
	tables := &newestTable{machine: machine, decoder: n.Decoder, logger: n.Logger}
	links.Handle(boragewick.MethodStore, &storewatch.Server{Probe: n.Probe(&n.client), Stores: tables.stores, Logger: n.Logger})
	admin := n.Administrator(c, tables.knowsPool, n.Logger)
	if err := n.serve("operators", n.Settings.OperatorAddr, &httpserver.Server{Handler: admin, DrainFor: controlDrain}); err != nil {
		return err
	}
	if n.Settings.Data != "" {
		if err := n.buildReplica(c, links, machine, directory); err != nil {
			return err
		}
	}
	n.core = c
	c.Handle(links.Handle)
	n.kernel.Register("core", c)
	return n.serveLinks(links)
}

// buildReplica prepares the log and what the leader does.
func (n *Node) buildReplica(c *core.Core, links *linkserver.Server, machine *registry.Registry, directory *discovery.Directory) error {
	folder, err := disk.Folder(n.Settings.Data)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	store := disk.New(folder)
	cfg := boragewick.ReplicaSettings{Name: n.Settings.Links.String(), NoLease: true, ElectionTimeout: electionTimeout, Heartbeat: heartbeat}
	if n.Settings.FirstStart && slices.Contains(n.Settings.Seeds, n.Settings.Links) {
		store.FirstIdentity = founder(n.Settings.Links).Identity
		cfg.Founders = founders(n.Settings.Seeds)
	}
	node := quorum.New(cfg, store, machine, n.peers.Named)
	node.Clock = n.clock
	node.Logger = n.Logger
	node.Metrics = n.metrics
	c.Replica = node
	c.Member = node.Member
	links.Handle(boragewick.MethodReplica, node)
	up := &weights.Upgrader{
		Holder:     n.Settings.Name,
		Log:        node,
		Registry:   machine,
		Directory:  directory,
		Loader:     n.Loader(&n.client),
		Direct:     c.Direct,
		Clock:      n.clock,
		Logger:     n.Logger,
		OrderLease: n.Settings.OrderLease,
	}
	n.kernel.Register("weights", up)
	n.kernel.Register("log", node)
	return nil
}

// founders returns the members of the first group, in one order everywhere.
func founders(seeds []netip.AddrPort) []boragewick.Member {
	list := slices.Clone(seeds)
	slices.SortFunc(list, netip.AddrPort.Compare)
	var members []boragewick.Member
	for _, addr := range list {
		members = append(members, founder(addr))
	}
	return members
}

// founder returns the first voter at the address.
func founder(addr netip.AddrPort) boragewick.Member {
	name := addr.String()
	return boragewick.Member{Name: name, Identity: boragewick.Identity(founderPrefix + name)}
}
