// Package burn keeps the service level of each workspace, route and model and
// tells how fast its error budgets are used up.
package burn

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
)

// defaultMaxSeries bounds the series of one meter; further ones are kept
// together under an empty Series.
const defaultMaxSeries = 16384

// Meter is a boragewick.Watcher. Meters of several processes add up.
type Meter struct {
	Objectives boragewick.Objectives
	// MaxSeries bounds the series; zero means 16,384.
	MaxSeries int

	mu     sync.Mutex
	levels map[boragewick.Series]*level
}

var _ boragewick.Watcher = (*Meter)(nil)

// stored is the stored form of one series.
type stored struct {
	Series boragewick.Series `cbor:"series"`
	Level  *level            `cbor:"level"`
}

// level returns the series, or the one that takes what has no room.
func (m *Meter) level(s boragewick.Series) *level {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.MaxSeries
	if limit == 0 {
		limit = defaultMaxSeries
	}
	if m.levels == nil {
		m.levels = map[boragewick.Series]*level{}
	}
	l := m.levels[s]
	if l == nil && len(m.levels) >= limit {
		s = boragewick.Series{}
		l = m.levels[s]
	}
	if l == nil {
		l = new(level)
		m.levels[s] = l
	}
	return l
}

// Watch follows one request that arrived at the instant.
func (m *Meter) Watch(s boragewick.Series, arrived time.Time) boragewick.Watch {
	return &watch{level: m.level(s), objectives: m.Objectives.WithDefaults(), arrived: arrived}
}

// all returns the levels by their series.
func (m *Meter) all() map[boragewick.Series]*level {
	m.mu.Lock()
	defer m.mu.Unlock()
	levels := make(map[boragewick.Series]*level, len(m.levels))
	for s, l := range m.levels {
		levels[s] = l
	}
	return levels
}

// Encode returns the meter's content in CBOR.
func (m *Meter) Encode() ([]byte, error) {
	var list []stored
	for s, l := range m.all() {
		sum := new(level)
		sum.merge(l)
		list = append(list, stored{s, sum})
	}
	b, err := cbor.Marshal(list)
	return b, errors.Wrap(err, "encode the meter")
}

// Merge adds the encoded content of another meter. The error is ErrCorrupt,
// and then nothing was added.
func (m *Meter) Merge(b []byte) error {
	var list []stored
	if err := cbor.Unmarshal(b, &list); err != nil {
		return errors.Mark(errors.Wrap(err, "decode a meter"), boragewick.ErrCorrupt)
	}
	for _, s := range list {
		if s.Level == nil {
			return errors.Wrap(boragewick.ErrCorrupt, "a meter without content")
		}
	}
	for _, s := range list {
		m.level(s.Series).merge(s.Level)
	}
	return nil
}
