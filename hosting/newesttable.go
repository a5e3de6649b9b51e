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

// newestTable is the newest committed configuration. It is decoded and indexed
// once per version.
type newestTable struct {
	reg     *registry.Registry
	decoder boragewick.TableDecoder
	logger  log.Logger
	cache   atomic.Pointer[routes.Index]
}

// index returns nil while no configuration is committed, or when the newest one
// cannot be decoded.
func (t *newestTable) index() *routes.Index {
	state, _ := t.reg.State()
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

// knowsPool reports whether a pool may exist. While index returns nil, it is true
// for every name.
func (t *newestTable) knowsPool(name string) bool {
	x := t.index()
	return x == nil || x.Pool(name) != nil
}

// stores returns the addresses of the KV cache stores.
func (t *newestTable) stores() []netip.AddrPort {
	x := t.index()
	if x == nil {
		return nil
	}
	return x.Stores()
}
