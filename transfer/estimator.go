// Package transfer decides whether to import the KV cache of a prefix or to
// recompute the prefix.
package transfer

import (
	"math"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// halfLife is the number of later measurements that halve the weight of one.
	halfLife = 32
	// trialIntervalSeconds is the minimum time between trial imports.
	trialIntervalSeconds = 10
	// minTrialBlocks is the minimum number of blocks in a trial import.
	minTrialBlocks = 8
	// trialBlockMilliseconds is the time allowed per block of an import before
	// any prefill was measured.
	trialBlockMilliseconds = 5
)

// decay is the factor that each later measurement applies to a measurement's
// weight.
var decay = math.Exp2(-1.0 / halfLife)

// Estimator estimates from measurements the number of blocks from which an
// import takes less time than computing. Its zero value decides against every
// import except periodic trials. It is safe for concurrent use.
type Estimator struct {
	// Clock is SystemClock if nil.
	Clock boragewick.Clock

	mu sync.Mutex
	// transfers is the weighted number of imports. The others are weighted sums
	// for the linear regression of import seconds on blocks: products sums
	// blocks times seconds and squares sums the squares of the blocks.
	transfers, blocks, seconds, squares, products float64
	// failures is the weighted number of failed imports.
	failures float64
	// prefillTokens and prefillSeconds are weighted sums over all prefills.
	prefillTokens, prefillSeconds float64
	nextTrial                     time.Time
}

// RecordImport records the duration of an import of the given number of blocks.
func (e *Estimator) RecordImport(blocks int, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decayImports()
	x, y := float64(blocks), took.Seconds()
	e.transfers++
	e.blocks += x
	e.seconds += y
	e.squares += x * x
	e.products += x * y
}

// RecordFailure records an import that failed.
func (e *Estimator) RecordFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decayImports()
	e.failures++
}

// RecordPrefill records the duration of a prefill of the given number of
// tokens.
func (e *Estimator) RecordPrefill(tokens uint64, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillTokens = e.prefillTokens*decay + float64(tokens)
	e.prefillSeconds = e.prefillSeconds*decay + took.Seconds()
}

// ShouldImport reports whether to import the given number of blocks.
func (e *Estimator) ShouldImport(blocks int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if minBlocks, ok := e.breakEven(); ok && blocks >= minBlocks {
		return true
	}
	now := e.now()
	if blocks < minTrialBlocks || now.Before(e.nextTrial) {
		return false
	}
	e.nextTrial = now.Add(trialIntervalSeconds * time.Second)
	return true
}

// ImportTimeout returns how long an import of the blocks may take: the time
// that computing them takes, or trialBlockMilliseconds per block before any
// prefill was measured.
func (e *Estimator) ImportTimeout(blocks int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefillTokens == 0 {
		return time.Duration(blocks) * trialBlockMilliseconds * time.Millisecond
	}
	seconds := float64(blocks*boragewick.BlockTokens) * e.prefillSeconds / e.prefillTokens
	return time.Duration(math.Round(seconds * float64(time.Second)))
}

// BreakEven returns the smallest number of blocks whose import takes less time
// than computing them. ok is false if there is no such number or if either
// imports or prefills have not been measured.
func (e *Estimator) BreakEven() (blocks int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.breakEven()
}

// breakEven returns the smallest n for which the import time base + slope*n,
// plus the prefill time of n blocks weighted by the share of imports that fail,
// is less than the prefill time of n blocks.
func (e *Estimator) breakEven() (int, bool) {
	if e.transfers == 0 || e.prefillTokens == 0 {
		return 0, false
	}
	base, slope := e.fit()
	success := e.transfers / (e.transfers + e.failures)
	gain := success*boragewick.BlockTokens*e.prefillSeconds/e.prefillTokens - slope
	if gain <= 0 {
		return 0, false
	}
	minBlocks := math.Floor(base/gain) + 1
	return int(minBlocks), minBlocks < math.MaxInt32
}

// fit returns the fixed time of an import and the time per block, by least
// squares. Imports of a single size determine only the time per block; base is
// then 0, as it is when the fit gives a negative base or slope.
func (e *Estimator) fit() (base, slope float64) {
	spread := e.squares*e.transfers - e.blocks*e.blocks
	if spread > 1e-9*e.squares*e.transfers {
		slope = (e.products*e.transfers - e.blocks*e.seconds) / spread
		base = (e.seconds - slope*e.blocks) / e.transfers
		if base >= 0 && slope >= 0 {
			return base, slope
		}
	}
	return 0, e.seconds / e.blocks
}

func (e *Estimator) decayImports() {
	e.transfers *= decay
	e.blocks *= decay
	e.seconds *= decay
	e.squares *= decay
	e.products *= decay
	e.failures *= decay
}

func (e *Estimator) now() time.Time {
	if e.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return e.Clock.Now()
}
