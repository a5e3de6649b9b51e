// Package burn measures the service level of each workspace, route and model and
// computes the burn rates of its error budgets.
package burn

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/boragewick/boragewick"
)

// defaultMaxSeries is the default of Meter.MaxSeries.
const defaultMaxSeries = 16384

// Meter is a boragewick.Watcher. Meters of several processes can be merged.
type Meter struct {
	Objectives boragewick.Objectives
	// MaxSeries limits the number of series; zero means 16,384. Further series
	// are counted together under an empty Series.
	MaxSeries int

	mu     sync.Mutex
	levels map[boragewick.Series]*level
}

var _ boragewick.Watcher = (*Meter)(nil)

// stored is the encoded form of one series.
type stored struct {
	Series boragewick.Series `cbor:"series"`
	Level  *level            `cbor:"level"`
}

// levelOf returns the level of the series. Once MaxSeries is reached, a new series
// gets the level of the empty Series.
func (m *Meter) levelOf(s boragewick.Series) *level {
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

// Watch starts tracking a request that arrived at the instant.
func (m *Meter) Watch(s boragewick.Series, arrived time.Time) boragewick.Watch {
	return &watch{level: m.levelOf(s), objectives: m.Objectives.WithDefaults(), arrived: arrived}
}

// allLevels returns a copy of the map of levels.
func (m *Meter) allLevels() map[boragewick.Series]*level {
	m.mu.Lock()
	defer m.mu.Unlock()
	levels := make(map[boragewick.Series]*level, len(m.levels))
	for s, l := range m.levels {
		levels[s] = l
	}
	return levels
}

// Encode encodes the meter's content in CBOR.
func (m *Meter) Encode() ([]byte, error) {
	var list []stored
	for s, l := range m.allLevels() {
		sum := new(level)
		sum.merge(l)
		list = append(list, stored{s, sum})
	}
	b, err := cbor.Marshal(list)
	return b, errors.Wrap(err, "encode the meter")
}

// Merge adds the encoded content of another meter. On error, which is ErrCorrupt,
// the meter is unchanged.
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
		m.levelOf(s.Series).merge(s.Level)
	}
	return nil
}
