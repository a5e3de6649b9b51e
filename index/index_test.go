package index

import (
	"runtime"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

var (
	firstEpoch      = boragewick.CacheEpoch{Engine: "e1", Weights: "1"}
	restartedEpoch  = boragewick.CacheEpoch{Engine: "e2", Weights: "1"}
	newWeightsEpoch = boragewick.CacheEpoch{Engine: "e1", Weights: "2"}
)

func stored(epoch boragewick.CacheEpoch, number uint64, blocks ...boragewick.BlockHash) boragewick.CacheEvent {
	return boragewick.CacheEvent{Epoch: epoch, Number: number, Kind: boragewick.CacheStored, Blocks: blocks}
}

func removed(epoch boragewick.CacheEpoch, number uint64, blocks ...boragewick.BlockHash) boragewick.CacheEvent {
	return boragewick.CacheEvent{Epoch: epoch, Number: number, Kind: boragewick.CacheRemoved, Blocks: blocks}
}

func TestApply(t *testing.T) {
	cleared := boragewick.CacheEvent{Epoch: firstEpoch, Number: 2, Kind: boragewick.CacheCleared}
	tests := map[string]struct {
		events []boragewick.CacheEvent
		want   int
		repair bool
	}{
		"stored":              {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1, 2, 3)}, 3, false},
		"hole in the middle":  {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1, 2, 3), removed(firstEpoch, 2, 2)}, 1, false},
		"cleared":             {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1, 2, 3), cleared}, 0, false},
		"repeated":            {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1), removed(firstEpoch, 2, 1), stored(firstEpoch, 1, 1)}, 0, false},
		"gap":                 {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1), stored(firstEpoch, 3, 2)}, 2, true},
		"gap stays":           {[]boragewick.CacheEvent{stored(firstEpoch, 2, 1), stored(firstEpoch, 3, 2)}, 2, true},
		"engine restarted":    {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1, 2), stored(restartedEpoch, 1, 3)}, 0, false},
		"new weights":         {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1, 2), stored(newWeightsEpoch, 1, 3)}, 0, false},
		"dead engine is late": {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1), stored(restartedEpoch, 1, 3), stored(firstEpoch, 2, 1, 2)}, 0, false},
		"restart ends gap":    {[]boragewick.CacheEvent{stored(firstEpoch, 5, 1), stored(restartedEpoch, 1, 1)}, 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var x Index
			repair := false
			for _, e := range tt.events {
				repair = x.Apply(e)
			}
			if got := x.Matched([]boragewick.BlockHash{1, 2, 3}); got != tt.want {
				t.Errorf("matched %d, want %d", got, tt.want)
			}
			if repair != tt.repair {
				t.Errorf("repair %t, want %t", repair, tt.repair)
			}
		})
	}
}

func TestReplace(t *testing.T) {
	listing := func(epoch boragewick.CacheEpoch, number uint64, blocks ...boragewick.BlockHash) boragewick.CacheListing {
		return boragewick.CacheListing{Epoch: epoch, Number: number, Blocks: blocks}
	}
	// Event 2, which removed block 1, was lost.
	gapped := []boragewick.CacheEvent{stored(firstEpoch, 1, 1), stored(firstEpoch, 3, 2), stored(firstEpoch, 4, 3), removed(firstEpoch, 5, 3)}
	tests := map[string]struct {
		events  []boragewick.CacheEvent
		listing boragewick.CacheListing
		want    []boragewick.BlockHash
		repair  bool
	}{
		"newest":           {gapped, listing(firstEpoch, 5, 2), []boragewick.BlockHash{2}, false},
		"from the future":  {gapped, listing(firstEpoch, 9, 7), []boragewick.BlockHash{7}, false},
		"replays the rest": {gapped, listing(firstEpoch, 3, 2), []boragewick.BlockHash{2}, false},
		"just covers":      {gapped, listing(firstEpoch, 2), []boragewick.BlockHash{2}, false},
		"too old":          {gapped, listing(firstEpoch, 1, 1), []boragewick.BlockHash{1, 2}, true},
		"dead engine":      {append(gapped, stored(restartedEpoch, 1, 9)), listing(firstEpoch, 5, 2), []boragewick.BlockHash{9}, false},
		"newer engine":     {gapped, listing(restartedEpoch, 4, 8), []boragewick.BlockHash{8}, false},
		"old without gap":  {[]boragewick.CacheEvent{stored(firstEpoch, 1, 1), stored(firstEpoch, 2, 2)}, listing(firstEpoch, 1, 1), []boragewick.BlockHash{1, 2}, false},
		"second gap": {
			append(gapped, stored(firstEpoch, 7, 4)), listing(firstEpoch, 5, 2),
			[]boragewick.BlockHash{1, 2, 4},
			true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var x Index
			for _, e := range tt.events {
				x.Apply(e)
			}
			if repair := x.Replace(tt.listing); repair != tt.repair {
				t.Errorf("repair %t, want %t", repair, tt.repair)
			}
			if x.Len() != len(tt.want) || x.Matched(tt.want) != len(tt.want) {
				t.Errorf("%d blocks, matched %d of %v", x.Len(), x.Matched(tt.want), tt.want)
			}
		})
	}
}

func TestReplaceAfterReplayBufferOverflow(t *testing.T) {
	var x Index
	last := uint64(3*maxReplayEvents + 1)
	for n := uint64(2); n <= last; n++ {
		x.Apply(stored(firstEpoch, n, boragewick.BlockHash(n)))
	}
	if !x.Replace(boragewick.CacheListing{Epoch: firstEpoch, Number: 1}) {
		t.Error("a listing older than the kept events was accepted")
	}
	if x.Replace(boragewick.CacheListing{Epoch: firstEpoch, Number: last - 1}) {
		t.Error("a listing newer than the kept events was refused")
	}
	if x.Len() != 1 {
		t.Errorf("%d blocks, want the one of the last event", x.Len())
	}
}

func TestPresumeCached(t *testing.T) {
	blocks := []boragewick.BlockHash{1, 2}
	afterExpiry := (presumedTTLMillis + 1) * time.Millisecond
	tests := map[string]struct {
		event *boragewick.CacheEvent
		wait  time.Duration
		reset bool
		want  int
	}{
		"at once":       {want: 2},
		"not confirmed": {wait: afterExpiry, want: 0},
		"confirmed":     {event: &boragewick.CacheEvent{Epoch: firstEpoch, Number: 1, Kind: boragewick.CacheStored, Blocks: blocks}, wait: afterExpiry, want: 2},
		"late removal":  {event: &boragewick.CacheEvent{Epoch: firstEpoch, Number: 1, Kind: boragewick.CacheRemoved, Blocks: blocks}, want: 2},
		"restart":       {reset: true, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			x := Index{Clock: boragewick.ClockFunc(func() time.Time { return now })}
			x.Reset(firstEpoch)
			x.PresumeCached(blocks)
			if tt.event != nil {
				x.Apply(*tt.event)
			}
			if tt.reset {
				x.Reset(restartedEpoch)
			}
			now = now.Add(tt.wait)
			if got := x.Matched(blocks); got != tt.want {
				t.Errorf("matched %d, want %d", got, tt.want)
			}
			x.PresumeCached(nil)
			if got := x.Len(); got != tt.want {
				t.Errorf("%d blocks kept, want %d", got, tt.want)
			}
		})
	}
}

const plannedBlocks = 77_000

func fill(x *Index) []boragewick.BlockHash {
	blocks := make([]boragewick.BlockHash, plannedBlocks)
	for i := range blocks {
		blocks[i] = boragewick.BlockHash(i+1) * 0x9e3779b97f4a7c15
	}
	x.Apply(stored(firstEpoch, 1, blocks...))
	return blocks
}

func TestMemoryOfPlannedSize(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var x Index
	fill(&x)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d bytes for %d blocks", used, x.Len())
	if used > 16<<20 {
		t.Errorf("%d bytes for %d blocks", used, x.Len())
	}
}

func BenchmarkMatched512(b *testing.B) {
	var x Index
	blocks := fill(&x)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		x.Matched(blocks[i : i+512])
		i = (i + 512) % (plannedBlocks - 512)
	}
}

func BenchmarkApply(b *testing.B) {
	var x Index
	blocks := fill(&x)
	number := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		number++
		at := int(number/2*16) % (plannedBlocks - 16)
		if number%2 == 0 {
			x.Apply(removed(firstEpoch, number, blocks[at:at+16]...))
			continue
		}
		x.Apply(stored(firstEpoch, number, blocks[at:at+16]...))
	}
}
