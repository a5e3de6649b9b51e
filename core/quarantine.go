package core

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

const (
	// maxQuarantineDoublings bounds the time of a part's quarantine. It begins with
	// boragewick.QuarantineTime and doubles with each further quarantine.
	maxQuarantineDoublings = 6
	// repeatedRequestTime is how long the second and each later quarantine of a whole
	// request lasts.
	repeatedRequestTime = 24 * time.Hour
	// suspectsInterval is the shortest time between two lists of suspects that are sent
	// to a watcher. After an outage of many endpoints the list is long.
	suspectsInterval = 200 * time.Millisecond
	// maxLoggedParts is the number of parts that are named in one log line.
	maxLoggedParts = 8
)

// quarantineKeeper puts parts into quarantine and lifts it while this replica leads.
// It belongs to one goroutine.
type quarantineKeeper struct {
	*Core
	// quarantines are the active ones that this replica has seen.
	quarantines map[uint64]activeQuarantine
	suspects    []uint64
}

// activeQuarantine is a part's quarantine by its number.
type activeQuarantine struct {
	count  uint64
	whole  bool
	liftAt time.Time
	// decidedAfter is a time after which the quarantine was decided. A request with the
	// part that was answered since shows that it was wrong.
	decidedAfter time.Time
}

// reportCrashes records a router's report.
func (c *Core) reportCrashes(_ context.Context, r boragewick.CrashReport) (empty, error) {
	if c.Replica == nil || c.Quarantine == nil {
		return empty{}, errors.Wrap(boragewick.ErrUnknownService, "no disk")
	}
	c.count("quarantine.reports")
	c.Quarantine.Report(&r)
	return empty{}, nil
}

// maintainQuarantine decides on quarantines until ctx is done.
func (c *Core) maintainQuarantine(ctx context.Context) {
	if c.Quarantine == nil {
		return
	}
	k := quarantineKeeper{Core: c}
	everySweep(ctx, k.sweep)
}

// sweep follows the replicated state and the evidence, and proposes changes if this
// replica leads.
func (k *quarantineKeeper) sweep(ctx context.Context) {
	state, _ := k.Registry.State()
	k.observe(state.Quarantined)
	k.logSuspects()
	if !k.Replica.Status().Leading {
		return
	}
	for _, part := range k.Quarantine.Due(state.Quarantined) {
		crashes, endpoints := k.Quarantine.Evidence(part)
		if k.change(ctx, boragewick.Quarantine{Part: part, Whole: k.Quarantine.IsWhole(part)}, "crashes", crashes,
			"endpoints", strings.Join(endpoints[:min(len(endpoints), maxLoggedParts)], ",")) != nil {
			return
		}
	}
	now := k.Clock.Now()
	for _, part := range slices.Sorted(maps.Keys(k.quarantines)) {
		q := k.quarantines[part]
		answered, cleared := k.Quarantine.AnsweredSince(part, q.decidedAfter), k.Quarantine.IsCleared(part, state.Quarantined)
		if !answered && !cleared && now.Before(q.liftAt) {
			continue
		}
		if k.change(ctx, boragewick.Quarantine{Part: part, Lift: true, Forget: answered || cleared, Whole: q.whole}, "count", q.count, "answered", answered, "cleared", cleared) != nil {
			return
		}
	}
}

// observe records when each quarantine was first seen. A new leader thus counts from
// when its replica saw it.
func (k *quarantineKeeper) observe(quarantined []boragewick.QuarantinedPart) {
	active := map[uint64]activeQuarantine{}
	for _, part := range quarantined {
		if !part.Active {
			continue
		}
		q, known := k.quarantines[part.Part]
		if !known || q.count != part.Count {
			now := k.Clock.Now()
			q = activeQuarantine{part.Count, part.Whole, now.Add(quarantineLength(part.Count, part.Whole)), now.Add(-2 * sweepInterval)}
		}
		active[part.Part] = q
	}
	k.quarantines = active
	k.mu.Lock()
	k.quarantineEnds = map[uint64]time.Time{}
	for part, q := range active {
		k.quarantineEnds[part] = q.liftAt
	}
	k.mu.Unlock()
	k.gauge("quarantine.active", len(active))
}

// change commits a change and logs the decision.
func (k *quarantineKeeper) change(ctx context.Context, q boragewick.Quarantine, inputs ...any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.propose(ctx, boragewick.RegistryCommand{Quarantine: &q})
	msg, counter := "put into quarantine", "quarantine.put"
	if q.Lift {
		msg, counter = "quarantine lifted", "quarantine.lifted"
	}
	if err == nil {
		k.count(counter)
	}
	line := append([]any{"msg", msg, "key", formatPart(q.Part), "whole", q.Whole, "term", k.Replica.Status().Term, "err", err}, inputs...)
	_ = level.Info(k.Logger).Log(line...)
	return err
}

// logSuspects logs the suspects that were added or cleared since the last time.
func (k *quarantineKeeper) logSuspects() {
	list, _ := k.Quarantine.Suspects()
	if slices.Equal(list, k.suspects) {
		return
	}
	_ = level.Info(k.Logger).Log("msg", "suspected prompt parts and requests", "suspects", len(list),
		"added", formatParts(without(list, k.suspects)), "cleared", formatParts(without(k.suspects, list)))
	k.suspects = list
	k.gauge("quarantine.suspects", len(list))
}

// quarantineLength returns how long the quarantine of a part or a whole request lasts that
// was put there so often.
func quarantineLength(count uint64, whole bool) time.Duration {
	if whole && count > 1 {
		return repeatedRequestTime
	}
	return boragewick.QuarantineTime << min(max(count, 1)-1, maxQuarantineDoublings)
}

// activeParts returns the parts in quarantine, or nil if none ever was.
func (c *Core) activeParts(state *boragewick.RegistryState) *boragewick.PartSet {
	if len(state.Quarantined) == 0 {
		return nil
	}
	c.mu.Lock()
	ends := c.quarantineEnds
	c.mu.Unlock()
	set := &boragewick.PartSet{Changed: state.Changed, Now: c.Clock.Now()}
	for _, part := range state.Quarantined {
		if !part.Active {
			continue
		}
		end, ok := ends[part.Part]
		if !ok { // committed since the last sweep
			end = set.Now.Add(quarantineLength(part.Count, part.Whole))
		}
		set.Parts = append(set.Parts, part.Part)
		set.Ends = append(set.Ends, end)
	}
	return set
}

// addSuspects adds the suspects unless the watcher has them. It returns a channel that
// is closed when they may have changed, and the time after which to look again.
func (c *Core) addSuspects(u *boragewick.WatchUpdate, sent *cursor) (<-chan struct{}, time.Duration) {
	if c.Quarantine == nil || sent.Heartbeats {
		return nil, keepaliveInterval
	}
	list, changed := c.Quarantine.Suspects()
	if slices.Equal(list, sent.suspects) {
		return changed, keepaliveInterval
	}
	now := c.Clock.Now()
	if wait := sent.nextSuspects.Sub(now); wait > 0 {
		return nil, min(wait, keepaliveInterval)
	}
	u.Suspects = &boragewick.PartSet{Parts: list}
	sent.suspects = list
	sent.nextSuspects = now.Add(suspectsInterval)
	return changed, keepaliveInterval
}

// count increments a counter.
func (c *Core) count(name string) {
	if c.Metrics != nil {
		metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1)
	}
}

// gauge sets a gauge.
func (c *Core) gauge(name string, value int) {
	if c.Metrics != nil {
		metrics.GetOrRegisterGauge(name, c.Metrics).Update(int64(value))
	}
}

// without returns the parts of a sorted list that are not in the other one.
func without(list, other []uint64) []uint64 {
	var rest []uint64
	for _, part := range list {
		if _, ok := slices.BinarySearch(other, part); !ok {
			rest = append(rest, part)
		}
	}
	return rest
}

func formatPart(part uint64) string { return fmt.Sprintf("%016x", part) }

// formatParts returns the first few parts, and how many more there are.
func formatParts(parts []uint64) string {
	var text []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		text = append(text, formatPart(part))
	}
	if more := len(parts) - maxLoggedParts; more > 0 {
		text = append(text, fmt.Sprintf("%d more", more))
	}
	return strings.Join(text, ",")
}
