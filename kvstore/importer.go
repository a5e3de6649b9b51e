// Package kvstore copies KV cache blocks of prompt prefixes between an engine
// and the deployment's KV cache store.
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
	// exportTimeout limits the export of one request's blocks to the store.
	exportTimeout = 10 * time.Second
	// maxSeenBlocks is the number of blocks whose state is kept before all of
	// them are forgotten.
	maxSeenBlocks = 1 << 16
)

// blockState records whether a block was seen in a request or has been exported.
type blockState uint8

const (
	blockSeen blockState = iota + 1
	blockExported
)

// Importer is a boragewick.Engine that imports missing blocks from the store
// before it runs a request, if that takes less time than computing them. It
// exports the blocks that a request has in common with an earlier one.
type Importer struct {
	boragewick.Engine
	// Local is the engine's own cache, Store the deployment's KV cache store.
	Local boragewick.BlockStore
	Store boragewick.BlockStore
	// Cache tracks which blocks the engine has cached.
	Cache     boragewick.PrefixCache
	Estimator *transfer.Estimator
	// Clock is SystemClock if nil.
	Clock boragewick.Clock

	mu        sync.Mutex
	exporting bool
	seen      map[boragewick.BlockHash]blockState
}

// Run imports missing blocks if Estimator decides so and runs the request.
func (m *Importer) Run(ctx context.Context, r *boragewick.Request, emit func(boragewick.Chunk) error) error {
	matched := min(m.Cache.Matched(r.Blocks), len(r.Blocks))
	missing := r.Blocks[matched:]
	if len(missing) > 0 && m.Estimator.ShouldImport(len(missing)) {
		n := m.importBlocks(ctx, missing)
		m.Cache.PresumeCached(r.Blocks[:matched+n])
		missing = missing[n:]
	}
	begin := m.now()
	first := true
	err := m.Engine.Run(ctx, r, func(c boragewick.Chunk) error {
		if first && len(c.Data) > 0 {
			first = false
			m.recordPrefill(r, len(missing), begin)
		}
		return emit(c)
	})
	if err == nil {
		m.export(ctx, m.exportCandidates(r.Blocks))
	}
	return err
}

// importBlocks imports blocks in order until one fails and returns the number
// imported. Its time limit is the time that computing the blocks takes.
func (m *Importer) importBlocks(ctx context.Context, blocks []boragewick.BlockHash) int {
	begin := m.now()
	ctx, cancel := context.WithDeadline(ctx, begin.Add(m.Estimator.ImportTimeout(len(blocks))))
	defer cancel()
	n, err := 0, error(nil)
	for n < len(blocks) && err == nil {
		if err = copyBlock(ctx, blocks[n], m.Store, m.Local); err == nil {
			n++
		}
	}
	if n > 0 {
		m.Estimator.RecordImport(n, m.now().Sub(begin))
	}
	if err != nil && !errors.Is(err, boragewick.ErrUnknownObject) {
		m.Estimator.RecordFailure()
	}
	return n
}

// recordPrefill records the prefill time of a streamed request at its first
// token.
func (m *Importer) recordPrefill(r *boragewick.Request, missing int, begin time.Time) {
	if r.Stream && missing > 0 {
		m.Estimator.RecordPrefill(uint64(missing)*boragewick.BlockTokens, m.now().Sub(begin))
	}
}

// exportCandidates returns the leading blocks that an earlier request had too
// and that have not been exported yet. It records the blocks it sees for the
// first time.
func (m *Importer) exportCandidates(blocks []boragewick.BlockHash) []boragewick.BlockHash {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil || len(m.seen)+len(blocks) > maxSeenBlocks {
		m.seen = map[boragewick.BlockHash]blockState{}
	}
	exported, known := 0, 0
	for _, b := range blocks {
		switch m.seen[b] {
		case blockExported:
			exported++
			known++
		case blockSeen:
			known++
		default:
			m.seen[b] = blockSeen
		}
	}
	return blocks[exported:known]
}

// export copies the blocks to the store in the background, unless another
// export is running.
func (m *Importer) export(ctx context.Context, blocks []boragewick.BlockHash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.exporting || len(blocks) == 0 {
		return
	}
	m.exporting = true
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
		defer cancel()
		n := 0
		for n < len(blocks) && copyBlock(ctx, blocks[n], m.Local, m.Store) == nil {
			n++
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.exporting = false
		for _, b := range blocks[:n] {
			m.seen[b] = blockExported
		}
	}()
}

func copyBlock(ctx context.Context, b boragewick.BlockHash, from, to boragewick.BlockStore) error {
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
