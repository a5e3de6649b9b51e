// Package agents keeps a router's links to the agents of endpoints.
package agents

import (
	"context"
	"net/netip"
	"sync"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/link"
)

// Pool implements boragewick.Agents and boragewick.Prober with one link to
// each agent's address, dialled when it is used.
type Pool struct {
	Dialer   boragewick.Dialer
	Hello    boragewick.Hello
	Settings boragewick.LinkSettings

	mu    sync.Mutex
	links map[netip.AddrPort]*link.Link
}

// Peer implements boragewick.Agents.
func (p *Pool) Peer(e *boragewick.Endpoint) boragewick.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[e.Agent]; l != nil {
		return l
	}
	if p.links == nil {
		p.links = map[netip.AddrPort]*link.Link{}
	}
	l := &link.Link{Addr: e.Agent, Dialer: p.Dialer, Hello: p.Hello, Settings: p.Settings}
	p.links[e.Agent] = l
	return l
}

// Probe implements boragewick.Prober.
func (p *Pool) Probe(ctx context.Context, e *boragewick.Endpoint, q *boragewick.Probe) (boragewick.ProbeReply, error) {
	var reply boragewick.ProbeReply
	err := boragewick.Call(ctx, p.Peer(e), boragewick.MethodProbe, q, &reply)
	return reply, err
}

// Keep closes the links to agents that none of the endpoints has.
func (p *Pool) Keep(endpoints []*boragewick.Endpoint) {
	known := map[netip.AddrPort]bool{}
	for _, e := range endpoints {
		known[e.Agent] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		if known[addr] {
			continue
		}
		_ = l.Close()
		delete(p.links, addr)
	}
}
