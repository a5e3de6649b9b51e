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

// lines collects what is written.
type lines struct {
	mu   sync.Mutex
	list []string
}

func (l *lines) Log(keyvals ...any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, strings.TrimSpace(fmt.Sprintln(keyvals...)))
	return nil
}

func (l *lines) count(part string) int {
	n := 0
	for _, line := range l.list {
		if strings.Contains(line, part) {
			n++
		}
	}
	return n
}

func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out lines
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
			t.Errorf("%d lines of a frequent kind, want %v and one that counts", n, burst)
		}
		if n := out.count("msg failed"); n != 300 {
			t.Errorf("%d of 300 failures", n)
		}
		if n := out.count("rare"); n != 1 {
			t.Errorf("%d lines of a rare kind", n)
		}
		if n := out.count("lines 800"); n != 1 {
			t.Errorf("the lines left out are not counted: %v", out.list[len(out.list)-1])
		}
	})
}

func TestNeverWaits(t *testing.T) {
	l := New(log.LoggerFunc(func(...any) error { select {} }))
	for i := range 10 * queued {
		_ = l.Log("msg", fmt.Sprint("kind ", i))
	}
}
