package placement

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/enginestate"
)

// resumedAt is a boragewick.PauseMonitor of a process that stood still until the instant.
type resumedAt time.Time

func (r resumedAt) IsSinceResume(at time.Time) bool { return !at.Before(time.Time(r)) }

// TestWeightsChange guards against a run whose engine is taken to have kept its weights though
// nothing has been heard of it for as long as an order and a load take, or since the router stood
// still.
func TestWeightsChange(t *testing.T) {
	versions := func(version uint64) map[string]uint64 { return map[string]uint64{"m": version} }
	type step func(p *Placement, clock *fakeClock)
	reports := func(u *boragewick.EngineUpdate) step {
		return func(p *Placement, _ *fakeClock) { p.ObserveEngine("e00", u) }
	}
	wait := func(d time.Duration) step {
		return func(_ *Placement, clock *fakeClock) { clock.now = clock.now.Add(d) }
	}
	restarts := func(p *Placement, _ *fakeClock) {
		e := engine(0, "1")
		e.Incarnation = "2"
		p.Update(boragewick.EndpointChange{Endpoint: e})
	}
	resumes := func(p *Placement, clock *fakeClock) { p.Pauses = resumedAt(clock.now) }
	known := reports(&boragewick.EngineUpdate{Weights: versions(1)})
	tests := map[string]struct {
		steps []step
		want  boragewick.WeightsChange
	}{
		"no agent":                     {nil, boragewick.WeightsChangeUnknown},
		"agent without versions":       {[]step{reports(&boragewick.EngineUpdate{})}, boragewick.WeightsChangeUnknown},
		"unchanged":                    {[]step{known}, boragewick.WeightsUnchanged},
		"silent":                       {[]step{known, wait(weightsReportTTL + time.Millisecond)}, boragewick.WeightsChangeUnknown},
		"confirmed without versions":   {[]step{known, wait(weightsReportTTL), reports(&boragewick.EngineUpdate{}), wait(weightsReportTTL)}, boragewick.WeightsUnchanged},
		"down since":                   {[]step{known, wait(weightsReportTTL), reports(&boragewick.EngineUpdate{Down: true}), wait(time.Millisecond)}, boragewick.WeightsChangeUnknown},
		"lost since":                   {[]step{known, reports(nil), wait(weightsReportTTL + time.Millisecond)}, boragewick.WeightsChangeUnknown},
		"lost and back, no versions":   {[]step{known, reports(nil), wait(weightsReportTTL + time.Millisecond), reports(&boragewick.EngineUpdate{})}, boragewick.WeightsChangeUnknown},
		"lost and back":                {[]step{known, reports(nil), wait(time.Minute), known}, boragewick.WeightsUnchanged},
		"busy":                         {[]step{known, reports(&boragewick.EngineUpdate{Weights: versions(1), Busy: true})}, boragewick.WeightsChanged},
		"order without effect":         {[]step{reports(&boragewick.EngineUpdate{Weights: versions(1), Busy: true}), known}, boragewick.WeightsUnchanged},
		"changed":                      {[]step{known, reports(&boragewick.EngineUpdate{Weights: versions(2)})}, boragewick.WeightsChanged},
		"changed, then silent":         {[]step{reports(&boragewick.EngineUpdate{Weights: versions(2)}), wait(time.Minute)}, boragewick.WeightsChanged},
		"known before a pause":         {[]step{known, wait(time.Millisecond), resumes}, boragewick.WeightsChangeUnknown},
		"known after a pause":          {[]step{known, wait(time.Millisecond), resumes, known}, boragewick.WeightsUnchanged},
		"confirmed after a pause":      {[]step{known, wait(time.Millisecond), resumes, reports(&boragewick.EngineUpdate{})}, boragewick.WeightsUnchanged},
		"down after a pause":           {[]step{known, wait(time.Millisecond), resumes, reports(&boragewick.EngineUpdate{Down: true})}, boragewick.WeightsChangeUnknown},
		"lost after a pause":           {[]step{known, wait(time.Millisecond), resumes, reports(nil)}, boragewick.WeightsChangeUnknown},
		"changed before a pause":       {[]step{reports(&boragewick.EngineUpdate{Weights: versions(2)}), wait(time.Millisecond), resumes}, boragewick.WeightsChanged},
		"changed, then back as before": {[]step{reports(&boragewick.EngineUpdate{Weights: versions(2)}), restarts, known}, boragewick.WeightsChanged},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, clock := newPlacement(1)
			s := selection("sheet", "session", "own")
			c := bestCandidate(t, p, s)
			f := p.Begin(&c, &s)
			defer f.End()
			for _, step := range test.steps {
				step(p, clock)
			}
			if got := f.WeightsChange(); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// TestLateReport guards against a run whose engine is taken to have kept its weights by a report
// that waited on the way while the engine loaded others.
func TestLateReport(t *testing.T) {
	const usually = 20 * time.Millisecond
	tests := map[string]struct {
		delay time.Duration
		want  boragewick.WeightsChange
	}{
		"as usual":             {usually, boragewick.WeightsUnchanged},
		"shorter than a load":  {200 * time.Millisecond, boragewick.WeightsUnchanged},
		"longer than the rest": {weightsReportTTL + usually + time.Millisecond, boragewick.WeightsChangeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, clock := newPlacement(1)
			s := selection("sheet", "session", "own")
			c := bestCandidate(t, p, s)
			f := p.Begin(&c, &s)
			defer f.End()
			var engine enginestate.State
			var cursor enginestate.Cursor
			report := boragewick.EngineReport{Weights: map[string]uint64{"m": 1}}
			var u boragewick.EngineUpdate
			for i := range 50 {
				report.Active = i % 2
				engine.SetLoad(&report)
				u, _ = engine.Next(&cursor)
				delay := usually
				if i == 49 {
					delay = test.delay
				}
				clock.now = clock.now.Add(delay)
				p.ObserveEngine("e00", &u)
			}
			if got := f.WeightsChange(); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
