// Package agents manages the links from a router to the agents of endpoints.
package agents

import (
	"context"
	"sync"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/link"
)

// Pool implements boragewick.Agents, Prober, Sender and Revoker with one link to
// each endpoint's agent, dialled on demand. As an EndpointObserver it drops the
// links of removed endpoints.
type Pool struct {
	Dialer   boragewick.Dialer
	Hello    boragewick.Hello
	Settings boragewick.LinkSettings

	mu    sync.Mutex
	links map[string]*link.Link
}

// Peer implements boragewick.Agents.
func (p *Pool) Peer(e *boragewick.Endpoint) boragewick.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[e.Name]; l != nil && l.Addr == e.Agent {
		return l
	}
	if p.links == nil {
		p.links = map[string]*link.Link{}
	}
	l := &link.Link{Addr: e.Agent, Dialer: p.Dialer, Hello: p.Hello, Settings: p.Settings}
	p.links[e.Name] = l
	return l
}

// Probe implements boragewick.Prober.
func (p *Pool) Probe(ctx context.Context, e *boragewick.Endpoint, q *boragewick.Probe) (boragewick.ProbeReply, error) {
	var reply boragewick.ProbeReply
	err := boragewick.Call(ctx, p.Peer(e), boragewick.MethodProbe, q, &reply)
	return reply, err
}

// Update implements boragewick.EndpointObserver. Answers in progress on a dropped
// link continue, and the link closes itself after them.
func (p *Pool) Update(changes ...boragewick.EndpointChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(p.links, c.Endpoint.Name)
		}
	}
}
