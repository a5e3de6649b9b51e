// Package peers keeps one link to each process of the deployment that this one
// calls.
package peers

import (
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/link"
)

// Pool holds one link per address. Its fields are set before use.
type Pool struct {
	Dialer   boragewick.Dialer
	Hello    boragewick.Hello
	Settings boragewick.LinkSettings
	// OnLost is link.Link.OnLost of all links.
	OnLost func(addr netip.AddrPort, err error)

	mu    sync.Mutex
	links map[netip.AddrPort]*link.Link
}

// Get returns the link to the address, which is dialled when it is used.
func (p *Pool) Get(addr netip.AddrPort) boragewick.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[addr]
	if l == nil {
		l = &link.Link{Addr: addr, Dialer: p.Dialer, Hello: p.Hello, Settings: p.Settings, OnLost: p.OnLost}
		if p.links == nil {
			p.links = map[netip.AddrPort]*link.Link{}
		}
		p.links[addr] = l
	}
	return l
}

// Named returns the link to the control replica of that name, which is its address.
func (p *Pool) Named(name string) (boragewick.Peer, error) {
	addr, err := netip.ParseAddrPort(name)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "replica name"), boragewick.ErrBadName)
	}
	return p.Get(addr), nil
}
