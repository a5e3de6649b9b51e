package burn

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// workspaces is the planned number of workspaces.
const workspaces = 13000

func BenchmarkToken(b *testing.B) {
	var m Meter
	w := m.Watch(series, start)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n += 20
		w.Token(atMs(n))
	}
}

func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var m Meter
		for i := range workspaces {
			w := m.Watch(boragewick.Series{Workspace: boragewick.ID(fmt.Sprint(i))}, start)
			for _, wait := range []int{30, 200, 900, 9000} {
				w.Token(atMs(wait))
				w.Token(atMs(wait + 5 + i%100))
			}
			w.Done(start.Add(10*time.Second), nil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/workspaces, "B/series")
		runtime.KeepAlive(&m)
	}
}
