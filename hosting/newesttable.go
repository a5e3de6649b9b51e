package hosting

import (
	"net/netip"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/registry"
	"github.com/boragewick/boragewick/routes"
)

// newestTable is the newest configuration that is committed, prepared once a
// version.
type newestTable struct {
	machine *registry.Registry
	decoder boragewick.TableDecoder
	logger  log.Logger
	cache   atomic.Pointer[routes.Index]
}

// index returns nil before there is a configuration.
func (t *newestTable) index() *routes.Index {
	state, _ := t.machine.State()
	p := state.Publication
	if x := t.cache.Load(); x != nil && x.Table.Version == p.Version {
		return x
	}
	if p.Version == 0 {
		return nil
	}
	table, err := t.decoder.DecodeTable(p.Document)
	if err != nil {
		_ = level.Error(t.logger).Log("msg", "committed table can't be read", "version", p.Version, "err", err)
		return nil
	}
	x := routes.New(table)
	t.cache.Store(x)
	return x
}

// knowsPool reports whether a pool may exist. Before there is a configuration,
// any may.
func (t *newestTable) knowsPool(name string) bool {
	x := t.index()
	return x == nil || x.Pool(name) != nil
}

// stores returns the stores of kept parts.
func (t *newestTable) stores() []netip.AddrPort {
	x := t.index()
	if x == nil {
		return nil
	}
	return x.Stores()
}
