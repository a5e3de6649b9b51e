package registry

import (
	"fmt"
	"testing"

	"github.com/boragewick/boragewick"
)

func departure(name string, started int64) boragewick.RegistryCommand {
	return boragewick.RegistryCommand{Departure: &boragewick.EndpointDeparture{Endpoint: name, Started: started}}
}

// TestDeparturesAreKept guards against departures that are forgotten with a snapshot, that
// count for another run, or that are kept without bound.
func TestDeparturesAreKept(t *testing.T) {
	var r Registry
	apply(t, &r, departure("a", 5))
	apply(t, &r, departure("a", 5))
	apply(t, &r, departure("b", 1))
	if list := r.Departures(0); len(list) != 2 || list[1].Number != 2 || len(r.Departures(1)) != 1 || len(r.Departures(2)) != 0 {
		t.Errorf("departures %v", list)
	}
	b, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored Registry
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	apply(t, &restored, departure("c", 9))
	for name, test := range map[string]struct {
		endpoint string
		started  int64
		departed bool
	}{
		"before the snapshot": {"a", 5, true}, "after it": {"c", 9, true}, "next run": {"a", 6, false}, "earlier run": {"a", 4, false}, "another": {"d", 5, false},
	} {
		if got := restored.HasDeparted(test.endpoint, test.started); got != test.departed {
			t.Errorf("%s: departed %t", name, got)
		}
	}
	for i := range 3 * maxDepartures {
		apply(t, &r, departure(fmt.Sprint("e", i), 1))
	}
	newest := fmt.Sprint("e", 3*maxDepartures-1)
	if list := r.Departures(0); len(list) != maxDepartures || len(r.departed) != maxDepartures || !r.HasDeparted(newest, 1) || r.HasDeparted("a", 5) {
		t.Errorf("%d departures, %d runs", len(list), len(r.departed))
	}
	if list := r.Departures(3*maxDepartures - 10); len(list) != 12 {
		t.Errorf("%d departures after a number", len(list))
	}
	if s, _ := r.State(); s.Changed != 0 {
		t.Errorf("%d changes, with which watchers get the whole state again", s.Changed)
	}
}
