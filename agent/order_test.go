package agent

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/admission"
)

// fakeReporter always returns the same load report.
type fakeReporter struct{ boragewick.EngineLoad }

func (r fakeReporter) Load(context.Context) (boragewick.EngineLoad, error) { return r.EngineLoad, nil }

// fakeTaker answers every order with err and records the last Fencing passed to
// SetNewestFencing.
type fakeTaker struct {
	err     error
	learned boragewick.Fencing
}

func (f *fakeTaker) Order(context.Context, boragewick.Order) error { return f.err }
func (f *fakeTaker) SetNewestFencing(newest boragewick.Fencing)    { f.learned = newest }

// fakeLeader is a control leader that renews every lease and records the announced
// endpoints.
type fakeLeader struct{ announced []boragewick.Endpoint }

func (l *fakeLeader) Open(_ context.Context, _ string, v any) (boragewick.Stream, error) {
	l.announced = append(l.announced, v.(boragewick.Announcement).Endpoint)
	return l, nil
}

func (l *fakeLeader) Send(context.Context, any) error { return nil }

func (l *fakeLeader) Recv(_ context.Context, v any) error {
	*v.(*boragewick.Lease) = boragewick.Lease{Newest: boragewick.Fencing{Fence: 3, Number: 9}}
	return nil
}

func TestOrderAnnounces(t *testing.T) {
	w1, w2 := boragewick.Model{Name: "m", Weights: "w1"}, boragewick.Model{Name: "m", Weights: "w2"}
	adapted, other := boragewick.Model{Name: "m", Weights: "w1", Adapter: "a"}, boragewick.Model{Name: "n", Weights: "w1"}
	now := time.Unix(100, 0)
	tests := map[string]struct {
		order    boragewick.Model
		endpoint string
		err      error
		// reported lists the models in the engine's load report, taken at the time at.
		reported []boragewick.Model
		at       time.Time
		want     []boragewick.Model
	}{
		"new weights":             {order: w2, want: []boragewick.Model{other, w2}},
		"an adapter beside":       {order: adapted, want: []boragewick.Model{w1, other, adapted}},
		"the same again":          {order: w1, want: []boragewick.Model{other, w1}},
		"refused":                 {order: w2, err: boragewick.ErrFenced, want: []boragewick.Model{w1, other}},
		"for another endpoint":    {order: w2, endpoint: "x", err: boragewick.ErrNoEndpoint, want: []boragewick.Model{w1, other}},
		"a report from before":    {order: w2, reported: []boragewick.Model{w1}, at: now.Add(-1), want: []boragewick.Model{other, w2}},
		"a restart after it":      {order: w2, reported: []boragewick.Model{w1}, at: now.Add(1), want: []boragewick.Model{w1}},
		"an engine without names": {order: w2, at: now.Add(1), want: []boragewick.Model{other, w2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, x := &fakeLeader{}, &fakeTaker{err: tt.err}
			a := &Agent{
				Endpoint: boragewick.Endpoint{Name: "e", Models: []boragewick.Model{w1, other}},
				Orders:   x, Control: l, Logger: log.NewNopLogger(),
				LoadReporter: fakeReporter{boragewick.EngineLoad{At: tt.at, Models: tt.reported}},
				Clock:        boragewick.ClockFunc(func() time.Time { return now }),
				// Announcements include the load of the admission queue.
				Admission: &admission.Queue{},
			}
			if tt.endpoint == "" {
				tt.endpoint = "e"
			}
			_, err := a.order(t.Context(), boragewick.Order{Endpoint: tt.endpoint, Kind: boragewick.OrderLoad, Model: tt.order})
			if !errors.Is(err, tt.err) {
				t.Fatalf("got %v, want %v", err, tt.err)
			}
			if len(l.announced) != 0 != (tt.err == nil) {
				t.Errorf("%d announcements after %v", len(l.announced), err)
			}
			a.announce(t.Context())
			got := l.announced[len(l.announced)-1].Models
			if len(got) != len(tt.want) {
				t.Fatalf("announced %v, want %v", got, tt.want)
			}
			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("announced %v, want %v", got, tt.want)
				}
			}
			if x.learned != (boragewick.Fencing{Fence: 3, Number: 9}) {
				t.Errorf("learned %+v", x.learned)
			}
		})
	}
}
