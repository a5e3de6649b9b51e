// Package transfer decides whether the KV cache of a prefix is imported or the
// prefix is computed again.
package transfer

import (
	"math"
	"sync"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// halfLife is the number of measurements after which one counts half.
	halfLife = 32
	// trialSeconds is the time between imports on trial.
	trialSeconds = 10
	// leastTrialBlocks is the shortest prefix that is imported on trial.
	leastTrialBlocks = 8
	// trialMilliseconds is how long one block may take on the first trial.
	trialMilliseconds = 5
)

// decay is what a measurement loses of its weight with each later one.
var decay = math.Exp2(-1.0 / halfLife)

// Line learns from measurements from how many blocks on an import takes less
// time than computing. Its zero value computes everything but a trial now and
// then. It is safe for concurrent use.
type Line struct {
	// Clock is SystemClock if nil.
	Clock boragewick.Clock

	mu sync.Mutex
	// transfers and their sums are of the seconds of imports over their blocks.
	transfers, blocks, seconds, squares, products float64
	// failures is the weighted number of failed imports.
	failures float64
	// prefilled tokens took busy seconds.
	prefilled, busy float64
	trial           time.Time
}

// Imported counts an import of the blocks.
func (l *Line) Imported(blocks int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade()
	x, y := float64(blocks), took.Seconds()
	l.transfers++
	l.blocks += x
	l.seconds += y
	l.squares += x * x
	l.products += x * y
}

// Failed counts an import that failed.
func (l *Line) Failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade()
	l.failures++
}

// Computed counts a prefill of the tokens.
func (l *Line) Computed(tokens uint64, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefilled = l.prefilled*decay + float64(tokens)
	l.busy = l.busy*decay + took.Seconds()
}

// Import reports whether the blocks are to be imported.
func (l *Line) Import(blocks int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.at(); ok && blocks >= at {
		return true
	}
	now := l.now()
	if blocks < leastTrialBlocks || now.Before(l.trial) {
		return false
	}
	l.trial = now.Add(trialSeconds * time.Second)
	return true
}

// Worth returns how long an import of the blocks may take: the time that
// computing them takes, or trialMilliseconds a block before any was measured.
func (l *Line) Worth(blocks int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.prefilled == 0 {
		return time.Duration(blocks) * trialMilliseconds * time.Millisecond
	}
	seconds := float64(blocks*boragewick.BlockTokens) * l.busy / l.prefilled
	return time.Duration(seconds * float64(time.Second))
}

// At returns the smallest number of blocks whose import takes less time than
// computing them. It is false when no import does, or nothing was measured.
func (l *Line) At() (blocks int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at()
}

// at compares base + slope*n, and the prefill of the imports that fail, with
// the prefill of n blocks.
func (l *Line) at() (int, bool) {
	if l.transfers == 0 || l.prefilled == 0 {
		return 0, false
	}
	base, slope := l.fit()
	success := l.transfers / (l.transfers + l.failures)
	gain := success*boragewick.BlockTokens*l.busy/l.prefilled - slope
	if gain <= 0 {
		return 0, false
	}
	at := math.Floor(base/gain) + 1
	return int(at), at < math.MaxInt32
}

// fit returns the fixed time of an import and the time for each block, by
// least squares. Imports of one size only tell the time for each block.
func (l *Line) fit() (base, slope float64) {
	spread := l.squares*l.transfers - l.blocks*l.blocks
	if spread > 1e-9*l.squares*l.transfers {
		slope = (l.products*l.transfers - l.blocks*l.seconds) / spread
		base = (l.seconds - slope*l.blocks) / l.transfers
		if base >= 0 && slope >= 0 {
			return base, slope
		}
	}
	return 0, l.seconds / l.blocks
}

func (l *Line) fade() {
	l.transfers *= decay
	l.blocks *= decay
	l.seconds *= decay
	l.squares *= decay
	l.products *= decay
	l.failures *= decay
}

func (l *Line) now() time.Time {
	if l.Clock == nil {
		return boragewick.SystemClock.Now()
	}
	return l.Clock.Now()
}
