// Package boundedlog limits the volume of a process's log and never blocks the
// process.
package boundedlog

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// linesPerSecond and burst limit the lines of one kind, that is, with the same
	// level and message. Warnings and errors have failureFactor times these limits.
	linesPerSecond = 20.0
	burst          = 100.0
	failureFactor  = 5.0
	// queueLength is the capacity of the queue of lines to be written.
	queueLength = 1024
	// reportInterval is the time between reports of how many lines were left out.
	reportInterval = 5 * time.Second
)

// Logger is a log.Logger in front of another one. Lines over the limits of their
// kind, and lines that arrive while the queue is full, are counted and left out.
// Run writes the lines.
type Logger struct {
	next  log.Logger
	lines chan []any

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket is the token bucket of the lines of one kind.
type bucket struct {
	tokens   float64
	refilled time.Time
	omitted  uint64
}

// New returns the Logger in front of next.
func New(next log.Logger) *Logger {
	return &Logger{next: next, lines: make(chan []any, queueLength), buckets: map[string]*bucket{}}
}

// Log implements log.Logger. It never blocks on the log's output.
func (l *Logger) Log(keyvals ...any) error {
	name, factor := classify(keyvals)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.buckets[name]
	if k == nil {
		k = &bucket{tokens: burst * factor, refilled: now}
		l.buckets[name] = k
	}
	k.tokens = min(burst*factor, k.tokens+now.Sub(k.refilled).Seconds()*linesPerSecond*factor)
	k.refilled = now
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

// classify returns the kind of a line and the factor of its limits.
func classify(keyvals []any) (name string, factor float64) {
	factor = 1
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch fmt.Sprint(keyvals[i]) {
		case "level":
			if v := keyvals[i+1]; v == level.WarnValue() || v == level.ErrorValue() {
				factor = failureFactor
			}
			name += fmt.Sprint(keyvals[i+1]) + " "
		case "msg":
			name += fmt.Sprint(keyvals[i+1])
		}
	}
	return name, factor
}

// Run writes lines until done is closed and the queue is empty.
func (l *Logger) Run(done <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ticker.C:
			l.reportOmitted()
		case <-done:
			l.drain()
			return
		}
	}
}

// drain writes the queued lines and the report of lines left out.
func (l *Logger) drain() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			l.reportOmitted()
			return
		}
	}
}

// write writes one line. It drops errors, as there is nowhere else to log them.
func (l *Logger) write(line []any) { _ = l.next.Log(line...) }

// reportOmitted logs how many lines of each kind were left out since the last
// report.
func (l *Logger) reportOmitted() {
	l.mu.Lock()
	omitted := map[string]uint64{}
	for name, k := range l.buckets {
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
