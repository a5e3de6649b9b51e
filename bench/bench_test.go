package bench

import (
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

func smallOptions(scenario string, policies ...string) Options {
	return Options{
		Deployments: []string{"khambhatia"},
		Scenarios:   []string{scenario},
		Policies:    policies,
		Seeds:       []uint64{1},
	}
}

func TestRunRepeats(t *testing.T) {
	a, err := Run(t.Context(), smallOptions("crashes", "picker"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Run(t.Context(), smallOptions("crashes", "picker"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}

func TestPickerHitsMoreThanRandom(t *testing.T) {
	r, err := Run(t.Context(), smallOptions("steady", "random", "picker"))
	if err != nil {
		t.Fatal(err)
	}
	random, picker := r.Rows[0], r.Rows[1]
	if picker.HitRate < random.HitRate+0.2 || picker.P95 > random.P95/2 || picker.WastedShare > random.WastedShare/2 {
		t.Errorf("random %+v\npicker %+v", random, picker)
	}
	if picker.Unserved != 0 || picker.DispatchesPerRequest != 1 {
		t.Errorf("picker %+v", picker)
	}
}

func TestOthersHitMoreThanRandom(t *testing.T) {
	policies := []string{"random", "consistent-hash", "router-tree", "index-replicas", "oracle"}
	r, err := Run(t.Context(), smallOptions("steady", policies...))
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range r.Rows[1:] {
		if row.HitRate < r.Rows[0].HitRate+0.2 {
			t.Errorf("%+v, random %+v", row, r.Rows[0])
		}
		if row.ProbesPerRequest != 0 {
			t.Errorf("%s probes", row.Policy)
		}
	}
}

func TestLeastLoadServesEveryRequest(t *testing.T) {
	r, err := Run(t.Context(), smallOptions("steady", "least-load"))
	if err != nil {
		t.Fatal(err)
	}
	if r.Rows[0].Unserved != 0 {
		t.Errorf("%+v", r.Rows[0])
	}
}

func TestLostDomainServesEveryRequest(t *testing.T) {
	r, err := Run(t.Context(), smallOptions("domain-lost", "picker"))
	if err != nil {
		t.Fatal(err)
	}
	if r.Rows[0].Unserved != 0 {
		t.Errorf("%+v", r.Rows[0])
	}
}

func TestRunRefusesUnknownNames(t *testing.T) {
	tests := map[string]Options{
		"deployment": {Deployments: []string{"x"}},
		"scenario":   smallOptions("x"),
		"policy":     smallOptions("steady", "x"),
	}
	for name, o := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := Run(t.Context(), o); !errors.Is(err, boragewick.ErrBadSettings) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestWriteTable(t *testing.T) {
	r := Report{Rows: []Row{{Deployment: "d", Scenario: "s", Policy: "p", HitRate: 0.5, P95: 12.4}}}
	var w strings.Builder
	if err := r.WriteTable(&w); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(w.String()), "\n")
	want := "d s p 50.0 0.0 0 12 0 0 0.00 0.000 0.0"
	if got := strings.Join(strings.Fields(lines[len(lines)-1]), " "); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
