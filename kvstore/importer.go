// Package kvstore moves the KV cache of prefixes between an engine and the
// deployment's KV cache store.
package kvstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/transfer"
)

const (
	// publishTimeout bounds the export of one request's blocks to the store.
	publishTimeout = 10 * time.Second
	// seenBlocks is the number of blocks whose earlier use is remembered.
	seenBlocks = 1 << 16
)

// use tells how far a block has come.
type use uint8

const (
	useOnce use = iota + 1
	usePublished
)

// Importer is a boragewick.Engine that imports missing blocks from the store
// before it runs a request, where that takes less time than computing them. It
// exports the blocks that a second request has in common with an earlier one.
type Importer struct {
	boragewick.Engine
	// Local is the engine's own cache and Store the deployment's store.
	Local boragewick.BlockStore
	Store boragewick.BlockStore
	// Cache tells what the engine has cached.
	Cache boragewick.PrefixCache
	Line  *transfer.Line
	// Clock is SystemClock if nil.
	Clock boragewick.Clock

	mu         sync.Mutex
	publishing bool
	seen       map[boragewick.BlockHash]use
}

// Run imports what is worth it and runs the request.
func (m *Importer) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	matched := min(m.Cache.Matched(r.Blocks), len(r.Blocks))
	missing := r.Blocks[matched:]
	if len(missing) > 0 && m.Line.Import(len(missing)) {
		n := m.fetch(ctx, missing)
		m.Cache.Learn(r.Blocks[:matched+n])
		missing = missing[n:]
	}
	begin := m.now()
	first := true
	err := m.Engine.Run(ctx, r, func(c boragewick.Chunk) error {
		if first && len(c.Data) > 0 {
			first = false
			m.measure(r, len(missing), begin)
		}
		return emit(c)
	})
	if err == nil {
		m.publish(ctx, m.shared(r.Blocks))
	}
	return err
}

// fetch imports leading blocks and returns their number. It gives up after the
// time that computing them takes.
func (m *Importer) fetch(ctx context.Context, blocks []boragewick.BlockHash) int {
	begin := m.now()
	ctx, cancel := context.WithDeadline(ctx, begin.Add(m.Line.Worth(len(blocks))))
	defer cancel()
	n, err := 0, error(nil)
	for n < len(blocks) && err == nil {
		if err = move(ctx, blocks[n], m.Store, m.Local); err == nil {
			n++
		}
	}
	if n > 0 {
		m.Line.Imported(n, m.now().Sub(begin))
	}
	if err != nil && !errors.Is(err, boragewick.ErrUnknownObject) {
		m.Line.Failed()
	}
	return n
}

// measure counts the prefill of a request whose first token is seen.
func (m *Importer) measure(r *boragewick.Request, missing int, begin time.Time) {
	if r.Stream && missing > 0 {
		m.Line.Computed(uint64(missing)*boragewick.BlockTokens, m.now().Sub(begin))
	}
}

// shared returns the leading blocks that an earlier request had too and that
// were not exported yet, and notes the others.
func (m *Importer) shared(blocks []boragewick.BlockHash) []boragewick.BlockHash {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil || len(m.seen)+len(blocks) > seenBlocks {
		m.seen = map[boragewick.BlockHash]use{}
	}
	published, known := 0, 0
	for _, b := range blocks {
		switch m.seen[b] {
		case usePublished:
			published++
			known++
		case useOnce:
			known++
		default:
			m.seen[b] = useOnce
		}
	}
	return blocks[published:known]
}

// publish exports the blocks to the store unless another export is under way.
func (m *Importer) publish(ctx context.Context, blocks []boragewick.BlockHash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.publishing || len(blocks) == 0 {
		return
	}
	m.publishing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), publishTimeout)
		defer cancel()
		n := 0
		for n < len(blocks) && move(ctx, blocks[n], m.Local, m.Store) == nil {
			n++
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.publishing = false
		for _, b := range blocks[:n] {
			m.seen[b] = usePublished
		}
	}()
}

func move(ctx context.Context, b boragewick.BlockHash, from, to boragewick.BlockStore) error {
	data, err := from.Export(ctx, b)
	if err != nil {
		return err
	}
	return to.Import(ctx, b, data)
}

func (m *Importer) now() time.Time {
	if m.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return m.Clock.Now()
}
