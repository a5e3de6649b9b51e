package placement

import (
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// runStep is something that happens around a request in flight at e00.
type runStep func(p *Placement, clock *fakeClock)

func agentTells(started int64, version uint64, busy bool) runStep {
	return func(p *Placement, _ *fakeClock) {
		p.ObserveEngine("e00", &boragewick.EngineUpdate{Weights: map[string]uint64{"m": version}, Busy: busy, Started: started})
	}
}

func begins(p *Placement, _ *fakeClock) {
	s := selection("sheet", "session", "own")
	p.Begin(&boragewick.Candidate{Endpoint: &boragewick.Endpoint{Name: "e00"}, Weights: "1"}, &s)
}

func agentTellsLoad(p *Placement, _ *fakeClock) {
	p.ObserveEngine("e00", &boragewick.EngineUpdate{Active: 1})
}

func agentMissesEngine(p *Placement, _ *fakeClock) {
	p.ObserveEngine("e00", &boragewick.EngineUpdate{Down: true})
}

func registers(run boragewick.Incarnation) runStep {
	return changes(boragewick.EndpointChange{Endpoint: boragewick.Endpoint{Incarnation: run}})
}

func isRemoved(p *Placement, _ *fakeClock) {
	p.Update(boragewick.EndpointChange{Endpoint: engine(0, "1"), Removed: true})
}

// changes applies a change of which only the incarnation and what it says of leaving are set.
func changes(c boragewick.EndpointChange) runStep {
	return func(p *Placement, _ *fakeClock) {
		e := engine(0, "1")
		e.Incarnation, e.Leaving = c.Endpoint.Incarnation, c.Endpoint.Leaving
		c.Endpoint = e
		p.Update(c)
	}
}

func passes(d time.Duration) runStep {
	return func(_ *Placement, clock *fakeClock) { clock.now = clock.now.Add(d) }
}

// beginBetween registers run 1 of e00, and begins a request there between the steps.
func beginBetween(t *testing.T, before, after []runStep) (*Placement, boragewick.Flight) {
	t.Helper()
	p, clock := newPlacement(0)
	registers("1")(p, clock)
	for _, step := range before {
		step(p, clock)
	}
	s := selection("sheet", "session", "own")
	c := bestCandidate(t, p, s)
	f := p.Begin(&c, &s)
	t.Cleanup(f.End)
	for _, step := range after {
		step(p, clock)
	}
	return p, f
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// TestReportsOfRun guards against a run that goes on from a copy though its engine has changed its
// weights, as the agent's reports reached only requests that began under the newest registration,
// and against knowledge of a run that counts on after the engine has started again.
func TestReportsOfRun(t *testing.T) {
	steps := func(list ...runStep) []runStep { return list }
	const unknown, unchanged, changed = boragewick.WeightsChangeUnknown, boragewick.WeightsUnchanged, boragewick.WeightsChanged
	tests := map[string]struct {
		before, after []runStep
		want          boragewick.WeightsChange
	}{
		"registered late, then an order":              {steps(agentTells(2, 1, false)), steps(registers("2"), agentTells(2, 1, true)), changed},
		"registered late, then changed":               {steps(agentTells(2, 1, false)), steps(registers("2"), agentTells(2, 2, false)), changed},
		"registered late, then reports of load":       {steps(agentTells(2, 1, false)), steps(registers("2"), passes(time.Second), agentTellsLoad, passes(time.Second)), unchanged},
		"registered first, then its agent tells":      {steps(agentTells(1, 1, false), registers("2")), steps(agentTells(2, 1, false)), unchanged},
		"registered first, then an order":             {steps(agentTells(1, 1, false), registers("2")), steps(agentTells(2, 1, true)), changed},
		"an earlier registration returns, an order":   {steps(registers("2"), agentTells(2, 1, false)), steps(registers("1"), agentTells(2, 1, true)), changed},
		"an earlier registration returns":             {steps(registers("2"), agentTells(2, 1, false)), steps(registers("1"), agentTells(2, 1, false)), unchanged},
		"an earlier registration returns, unheard":    {steps(registers("2"), agentTells(2, 1, false)), steps(registers("1")), unchanged},
		"the same, not told of the next one":          {steps(agentTells(1, 1, false)), steps(registers("2"), passes(2*time.Second), registers("1"), agentTellsLoad), unknown},
		"another run registers":                       {steps(agentTells(1, 1, false)), steps(registers("2")), unknown},
		"another run registers, late report":          {steps(agentTells(1, 1, false)), steps(registers("2"), agentTells(1, 2, false)), changed},
		"another run registers, reports of load":      {steps(agentTells(1, 1, false)), steps(registers("2"), agentTellsLoad), unknown},
		"another run is told":                         {steps(agentTells(1, 1, false)), steps(agentTells(2, 1, false)), unknown},
		"another run is told and registers":           {steps(agentTells(1, 1, false)), steps(agentTells(2, 1, false), registers("2"), agentTells(2, 1, false)), unknown},
		"changed, another run with the former ones":   {steps(agentTells(1, 1, false)), steps(agentTells(1, 2, false), agentTells(2, 1, false)), changed},
		"an order, another run with the former ones":  {steps(agentTells(1, 1, false)), steps(agentTells(1, 1, true), agentTells(2, 1, false)), changed},
		"runs aren't told, another one registers":     {steps(agentTells(0, 1, false)), steps(registers("2"), agentTells(0, 1, false)), unknown},
		"removed, then an order":                      {steps(agentTells(1, 1, false)), steps(isRemoved, agentTells(1, 1, true)), changed},
		"removed, then reports of load":               {steps(agentTells(1, 1, false)), steps(isRemoved, passes(time.Second), agentTellsLoad, passes(time.Second)), unchanged},
		"removed, another run registers":              {steps(agentTells(1, 1, false)), steps(isRemoved, registers("2"), agentTells(2, 1, false)), unknown},
		"removed, another run is told":                {steps(agentTells(1, 1, false)), steps(isRemoved, agentTells(2, 1, false)), unknown},
		"removed and back, then an order":             {steps(agentTells(1, 1, false)), steps(isRemoved, registers("1"), agentTells(1, 1, true)), changed},
		"the same run registers again, then an order": {steps(agentTells(1, 1, false)), steps(registers("1"), agentTells(1, 1, true)), changed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, f := beginBetween(t, test.before, test.after); f.WeightsChange() != test.want {
				t.Errorf("got %d, want %d", f.WeightsChange(), test.want)
			}
		})
	}
}

// TestDepartureOfRun guards against a run that isn't moved when its engine leaves, or is moved though
// an earlier run of the engine has left.
func TestDepartureOfRun(t *testing.T) {
	steps := func(list ...runStep) []runStep { return list }
	leaves := func(run boragewick.Incarnation, forGood bool) runStep {
		return changes(boragewick.EndpointChange{Endpoint: boragewick.Endpoint{Incarnation: run, Leaving: true}, Departing: forGood})
	}
	states := func(p *Placement, _ *fakeClock) {
		s := selection("sheet", "session", "own")
		c := boragewick.Candidate{Endpoint: &boragewick.Endpoint{Name: "e00", Incarnation: "2"}, Weights: "1"}
		f := p.Begin(&c, &s)
		f.Answered(&boragewick.Reply{Leaving: true})
		f.End()
	}
	tests := map[string]struct {
		before, after  []runStep
		left, departed bool
	}{
		"registered late":                          {steps(agentTells(2, 1, false)), steps(registers("2")), false, false},
		"registered late, leaves":                  {steps(agentTells(2, 1, false)), steps(registers("2"), leaves("2", true)), true, true},
		"registered late, as leaving":              {steps(agentTells(2, 1, false)), steps(leaves("2", true)), true, true},
		"registered late, out of service":          {steps(agentTells(2, 1, false)), steps(registers("2"), leaves("2", false)), true, false},
		"registered late, states that it leaves":   {steps(agentTells(2, 1, false)), steps(registers("2"), states), true, true},
		"registered late, removed":                 {steps(agentTells(2, 1, false)), steps(registers("2"), isRemoved), true, true},
		"not registered, out of service":           {steps(agentTells(2, 1, false)), steps(leaves("1", false)), true, false},
		"the earlier run leaves":                   {steps(agentTells(2, 1, false)), steps(leaves("1", true)), false, false},
		"the earlier run is removed":               {steps(agentTells(2, 1, false)), steps(isRemoved), false, false},
		"the next run leaves":                      {steps(agentTells(1, 1, false)), steps(registers("2"), leaves("2", true)), false, false},
		"an earlier registration returns, leaving": {steps(registers("2"), agentTells(2, 1, false)), steps(leaves("1", true)), false, false},
		"out of service and back":                  {steps(agentTells(1, 1, false)), steps(leaves("1", false), registers("1")), true, false},
		"begun after the return":                   {steps(agentTells(1, 1, false), leaves("1", false), registers("1")), nil, false, false},
		"next run after departure":                 {steps(agentTells(1, 1, false), leaves("1", true), agentTells(2, 1, false), registers("2")), nil, false, false},
		"next run after service":                   {steps(agentTells(2, 1, false), leaves("1", false), registers("2")), nil, false, false},
		"removed and back":                         {steps(isRemoved, registers("1")), nil, false, false},
		"removed and back beside a request":        {steps(begins, isRemoved, registers("1")), nil, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, f := beginBetween(t, test.before, test.after)
			p.Clock.(*fakeClock).now = p.now().Add(time.Second)
			if left := isClosed(f.Left()); left != test.left {
				t.Errorf("left: %t", left)
			}
			if departed := f.DepartedFor() > 0; departed != test.departed {
				t.Errorf("departed: %t", departed)
			}
		})
	}
}

// TestOutageAfterRegistration guards against a request that waits on at an engine that is lost, as
// the engine has registered again, or was removed, since the request began.
func TestOutageAfterRegistration(t *testing.T) {
	steps := func(list ...runStep) []runStep { return list }
	tests := map[string]struct {
		before, after []runStep
		lost          bool
	}{
		"lost":                              {steps(agentTells(1, 1, false)), steps(agentMissesEngine), true},
		"lost and back":                     {steps(agentTells(1, 1, false)), steps(agentMissesEngine, agentTellsLoad), false},
		"registered late, lost":             {steps(agentTells(2, 1, false)), steps(registers("2"), agentMissesEngine), true},
		"registered late, lost and back":    {steps(agentTells(2, 1, false)), steps(registers("2"), agentMissesEngine, agentTellsLoad), false},
		"lost, registered late":             {steps(agentTells(2, 1, false)), steps(agentMissesEngine, registers("2")), true},
		"lost, registered late and back":    {steps(agentTells(2, 1, false)), steps(agentMissesEngine, registers("2"), agentTellsLoad), false},
		"an earlier registration, lost":     {steps(registers("2"), agentTells(2, 1, false)), steps(registers("1"), agentMissesEngine), true},
		"removed, lost":                     {steps(agentTells(1, 1, false)), steps(isRemoved, agentMissesEngine), true},
		"removed, lost and back":            {steps(agentTells(1, 1, false)), steps(isRemoved, agentMissesEngine, agentTellsLoad), false},
		"removed, registered again, lost":   {steps(agentTells(1, 1, false)), steps(isRemoved, registers("1"), agentMissesEngine), true},
		"removed while lost, and then back": {steps(agentTells(1, 1, false)), steps(agentMissesEngine, isRemoved, agentTellsLoad), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, f := beginBetween(t, test.before, test.after); isClosed(f.Lost()) != test.lost {
				t.Errorf("lost: %t", !test.lost)
			}
		})
	}
}

// TestRunsAreForgotten guards against memory that grows with each start of an engine.
func TestRunsAreForgotten(t *testing.T) {
	p, clock := newPlacement(0)
	registers("1")(p, clock)
	s := selection("sheet", "session", "own")
	c := bestCandidate(t, p, s)
	first := p.Begin(&c, &s)
	for started := int64(2); started < 9; started++ {
		agentTells(started, 1, false)(p, clock)
		p.Begin(&c, &s).End()
	}
	if n := len(p.runs["e00"].former); n != 1 {
		t.Errorf("%d former runs beside one with a request", n)
	}
	last := p.Begin(&c, &s)
	first.End()
	if n := len(p.runs["e00"].former); n != 0 {
		t.Errorf("%d former runs without a request", n)
	}
	isRemoved(p, clock)
	agentTells(9, 1, false)(p, clock)
	last.End()
	if n := len(p.runs); n != 0 {
		t.Errorf("runs of %d endpoints that were removed", n)
	}
}
