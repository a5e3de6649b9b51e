package picker

import (
	"bytes"
	"math"
	"syscall"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/index"
	"github.com/boragewick/boragewick/prompt"
)

func TestRankFollowsWeights(t *testing.T) {
	var g group
	for i := range 6 {
		e := endpoint(i)
		e.Weight = uint32(i)
		g.add(newMember(e))
	}
	count := map[string]float64{}
	for slot := range slotCount {
		count[g.rankedFor(boragewick.BlockHash(slot))[0].Name]++
	}
	total := 1.0 + 1 + 2 + 3 + 4 + 5
	for i := range 6 {
		want := float64(max(i, 1)) / total * slotCount
		if got := count[endpoint(i).Name]; math.Abs(got-want) > 0.2*want {
			t.Errorf("%s comes first in %.0f slots, want about %.0f", endpoint(i).Name, got, want)
		}
	}
}

func TestMemberChangeMovesOnlyItsSlots(t *testing.T) {
	var g group
	members := make([]*member, 20)
	for i := range members {
		members[i] = newMember(endpoint(i))
		g.add(members[i])
	}
	firsts := func() [slotCount]*member {
		var out [slotCount]*member
		for slot := range out {
			out[slot] = g.rankedFor(boragewick.BlockHash(slot))[0]
		}
		return out
	}
	before := firsts()
	g.remove(members[3])
	without := firsts()
	g.add(members[3])
	after := firsts()
	for slot := range before {
		if before[slot] != members[3] && without[slot] != before[slot] {
			t.Errorf("slot %d moved although its first endpoint stayed", slot)
		}
		if after[slot] != before[slot] {
			t.Errorf("slot %d did not move back", slot)
		}
	}
}

func TestRankingSpansFailureDomains(t *testing.T) {
	var g group
	for i := range 200 {
		e := endpoint(0)
		e.Name = endpoint(i).Name
		if i == 150 {
			e.FailureDomain = "other"
		}
		g.add(newMember(e))
	}
	for slot := range slotCount {
		r := g.rankedFor(boragewick.BlockHash(slot))
		if !spansDomains(r) {
			t.Fatalf("slot %d has one failure domain", slot)
		}
	}
}

func TestPrefixHistoryIsBounded(t *testing.T) {
	var history prefixHistory
	m := newMember(endpoint(0))
	for i := range 5 * generationSize {
		history.put(boragewick.BlockHash(i), m)
	}
	if n := len(history.young) + len(history.old); n > 2*generationSize {
		t.Errorf("%d prefixes", n)
	}
	if got, _ := history.get(5*generationSize - 1); got[0] != m {
		t.Error("the newest prefix is missing")
	}
	if _, ok := history.get(0); ok {
		t.Error("the oldest prefix was not dropped")
	}
}

func TestBacklogDecaysAndIncludesInFlight(t *testing.T) {
	m := newMember(endpoint(0))
	now := time.Unix(100, 0)
	m.recordReply(&boragewick.ProbeReply{Queued: 1000, Now: now, FirstToken: now.Add(time.Second)}, 0, now)
	m.recordSent(500, now)
	tests := map[string]struct {
		at   time.Time
		want float64
	}{
		"at once":             {now, 1.5},
		"after the probe lag": {now.Add(500 * time.Millisecond), 0.5},
		"queue drained":       {now.Add(2 * time.Second), 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := m.backlogSeconds(tt.at); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("backlog %g seconds, want %g", got, tt.want)
			}
		})
	}
}

// BenchmarkHashAndScore8 hashes a prompt of 32k tokens and matches it at eight
// indexes of 77,000 blocks that hold all of it.
func BenchmarkHashAndScore8(b *testing.B) {
	p := prompt.Prompt{Text: bytes.Repeat([]byte("hull"), 32<<10)}
	var indexes [8]index.Index
	for i := range indexes {
		indexes[i].Apply(boragewick.CacheEvent{Number: 1, Kind: boragewick.CacheStored, Blocks: selection(0, 76_500).Blocks})
		indexes[i].Apply(boragewick.CacheEvent{Number: 2, Kind: boragewick.CacheStored, Blocks: p.Blocks(boragewick.PrefixSeed{})})
	}
	b.ReportAllocs()
	start := cpuTime(b)
	for b.Loop() {
		blocks := p.Blocks(boragewick.PrefixSeed{})
		for i := range indexes {
			if n := indexes[i].Matched(blocks); n != len(blocks) {
				b.Fatalf("matched %d blocks", n)
			}
		}
	}
	b.ReportMetric(float64(cpuTime(b)-start)/float64(b.N), "cpu-ns/op")
}

// cpuTime is the CPU time of the test process in nanoseconds. Unlike wall-clock
// time it excludes other processes.
func cpuTime(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkSelect3000 chooses among 3,000 endpoints with 5 models for prompts
// of 32k tokens, without probes.
func BenchmarkSelect3000(b *testing.B) {
	f, p := newPicker(0)
	for i := range 3000 {
		e := endpoint(i)
		e.Models = []boragewick.Model{{Name: string(rune('a' + i%5))}}
		f[e.Name] = &fakeAgent{}
		p.Update(boragewick.EndpointChange{Endpoint: e})
	}
	prompts := make([]boragewick.Selection, 1000)
	for i := range prompts {
		prompts[i] = selection(i*1000, 512)
		prompts[i].Model = boragewick.Model{Name: string(rune('a' + i%5))}
	}
	p.Prober = nil
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, err := p.Select(b.Context(), prompts[i%len(prompts)]); err != nil {
			b.Fatal(err)
		}
		i++
	}
}

// BenchmarkUpdate3000 replaces one of 3,000 endpoints of one model and looks up
// every slot again.
func BenchmarkUpdate3000(b *testing.B) {
	_, p := newPicker(3000)
	g := p.groups[groupKey{"models", boragewick.EndpointModel, testModel}]
	i := 0
	for b.Loop() {
		e := endpoint(i % 3000)
		e.Incarnation = boragewick.Incarnation(rune('a' + i/3000%2))
		p.Update(boragewick.EndpointChange{Endpoint: e})
		for slot := range slotCount {
			g.rankedFor(boragewick.BlockHash(slot))
		}
		i++
	}
}
