// Package boundedlog keeps the volume of a process's log within bounds and never
// makes the process wait for it.
package boundedlog

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// perSecond and burst bound the lines of one kind, told apart by their level
	// and message. Warnings and errors have failureShare times as many.
	perSecond    = 20.0
	burst        = 100.0
	failureShare = 5.0
	// queued is the number of lines that wait to be written.
	queued = 1024
	// tellEvery is how often the lines that were left out are counted in the log.
	tellEvery = 5 * time.Second
)

// Logger is a log.Logger in front of another one. Lines over the bounds of their
// kind, or that come while the queue is full, are counted and left out. Run
// writes the lines.
type Logger struct {
	next  log.Logger
	lines chan []any

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the budget of the lines of one kind.
type kind struct {
	tokens  float64
	filled  time.Time
	omitted uint64
}

// New returns the Logger in front of next.
func New(next log.Logger) *Logger {
	return &Logger{next: next, lines: make(chan []any, queued), kinds: map[string]*kind{}}
}

// Log implements log.Logger. It never waits.
func (l *Logger) Log(keyvals ...any) error {
	name, share := classify(keyvals)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{tokens: burst * share, filled: now}
		l.kinds[name] = k
	}
	k.tokens = min(burst*share, k.tokens+now.Sub(k.filled).Seconds()*perSecond*share)
	k.filled = now
	if k.tokens < 1 {
		k.omitted++
		return nil
	}
	select {
	case l.lines <- append([]any(nil), keyvals...):
		k.tokens--
	default:
		k.omitted++
	}
	return nil
}

// classify returns the kind of a line and the share of its budget.
func classify(keyvals []any) (name string, share float64) {
	share = 1
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch fmt.Sprint(keyvals[i]) {
		case "level":
			if v := keyvals[i+1]; v == level.WarnValue() || v == level.ErrorValue() {
				share = failureShare
			}
			name += fmt.Sprint(keyvals[i+1]) + " "
		case "msg":
			name += fmt.Sprint(keyvals[i+1])
		}
	}
	return name, share
}

// Run writes lines until done is closed and the queue is empty.
func (l *Logger) Run(done <-chan struct{}) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ticker.C:
			l.tell()
		case <-done:
			l.drain()
			return
		}
	}
}

// drain writes what is queued.
func (l *Logger) drain() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			l.tell()
			return
		}
	}
}

// write writes one line. A line that can't be written has nowhere else to go.
func (l *Logger) write(line []any) { _ = l.next.Log(line...) }

// tell writes how many lines of each kind were left out.
func (l *Logger) tell() {
	l.mu.Lock()
	omitted := map[string]uint64{}
	for name, k := range l.kinds {
		if k.omitted > 0 {
			omitted[name] = k.omitted
			k.omitted = 0
		}
	}
	l.mu.Unlock()
	for name, n := range omitted {
		l.write([]any{"level", level.WarnValue(), "msg", "log lines left out", "kind", name, "lines", n})
	}
}
