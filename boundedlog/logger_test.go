package boundedlog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// recorder is a log.Logger that records the lines written.
type recorder struct {
	mu   sync.Mutex
	list []string
}

func (l *recorder) Log(keyvals ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, strings.TrimSpace(fmt.Sprintln(keyvals...)))
	return nil
}

func (l *recorder) count(part string) int {
	n := 0
	for _, line := range l.list {
		if strings.Contains(line, part) {
			n++
		}
	}
	return n
}

func TestLinesPerKindAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out recorder
		l := New(&out)
		for range 900 {
			_ = level.Info(l).Log("msg", "frequent")
		}
		for range 300 {
			_ = level.Warn(l).Log("msg", "failed")
		}
		_ = level.Info(l).Log("msg", "rare")
		done := make(chan struct{})
		close(done)
		l.Run(done)
		if n := out.count("frequent"); n != burst+1 {
			t.Errorf("%d lines of a frequent kind, want %v and the report of lines left out", n, burst)
		}
		if n := out.count("msg failed"); n != 300 {
			t.Errorf("%d of 300 warnings were written", n)
		}
		if n := out.count("rare"); n != 1 {
			t.Errorf("%d lines of a rare kind, want 1", n)
		}
		if n := out.count("lines 800"); n != 1 {
			t.Errorf("the number of lines left out is not reported: %v", out.list[len(out.list)-1])
		}
	})
}

func TestLogDoesNotBlock(t *testing.T) {
	l := New(log.LoggerFunc(func(...any) error { select {} }))
	for i := range 10 * queueLength {
		_ = l.Log("msg", fmt.Sprint("kind ", i))
	}
}
