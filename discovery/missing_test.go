package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/boragewick/boragewick"
)

// TestMissingEndpoints guards against the deregistration of an unknown endpoint that is forgotten or
// undone by a late heartbeat (review/8), and against one that is held against the endpoint's next
// run.
func TestMissingEndpoints(t *testing.T) {
	const a1, a2 = "10.0.0.1:80", "10.0.0.2:80"
	type directory struct {
		*Directory
		clock *fakeClock
	}
	tests := map[string]struct {
		do func(d directory)
		// present are the endpoints that are not gone, and missing those whose run is not known.
		present, missing []string
	}{
		"deregistered":       {func(directory) {}, nil, []string{"a"}},
		"deregistered again": {func(d directory) { d.Deregister("a") }, nil, []string{"a"}},
		"another one":        {func(d directory) { d.Deregister("b") }, nil, []string{"a", "b"}},
		"late heartbeat":     {func(d directory) { d.Register(heartbeat("a", a1, 1, 9)) }, nil, []string{"a"}},
		"late heartbeat by another replica": {func(d directory) {
			d.clock.now = d.clock.now.Add(lateHeartbeat - time.Millisecond)
			d.Merge(heartbeat("a", a1, 1, 9))
		}, nil, []string{"a"}},
		"next run": {func(d directory) {
			d.clock.now = d.clock.now.Add(lateHeartbeat)
			d.Register(heartbeat("a", a1, 2, 1))
		}, []string{"a"}, nil},
		"told by a router": {func(d directory) {
			if !d.ResolveMissing(heartbeat("a", a1, 1, 9)) || d.ResolveMissing(heartbeat("a", a1, 1, 9)) {
				t.Error("the departure is not found once")
			}
		}, nil, nil},
		"told by a router, then a late heartbeat": {func(d directory) {
			d.ResolveMissing(heartbeat("a", a1, 1, 9))
			d.Register(heartbeat("a", a1, 1, 10))
		}, nil, nil},
		"told by a router, then the next run": {func(d directory) {
			d.ResolveMissing(heartbeat("a", a1, 1, 9))
			d.Register(heartbeat("a", a1, 2, 1))
		}, []string{"a"}, nil},
		"told after the next run": {func(d directory) {
			d.clock.now = d.clock.now.Add(lateHeartbeat)
			d.Register(heartbeat("a", a1, 2, 1))
			d.ResolveMissing(heartbeat("a", a1, 1, 9))
		}, []string{"a"}, nil},
		"told of one that did not deregister": {func(d directory) {
			if d.ResolveMissing(heartbeat("b", a2, 1, 9)) {
				t.Error("an endpoint is gone that has not deregistered")
			}
		}, nil, []string{"a"}},
		"told of one whose address is in use again": {func(d directory) {
			d.Register(heartbeat("b", a1, 1, 1))
			d.ResolveMissing(heartbeat("a", a1, 5, 9))
		}, []string{"b"}, nil},
		"learned from another replica": {func(d directory) {
			r := heartbeat("a", a1, 1, 9)
			r.Gone = true
			d.Merge(r)
		}, nil, nil},
		"long ago": {func(d directory) { d.clock.now = d.clock.now.Add(missingRetention + time.Second) }, nil, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, clock := newDirectory()
			_, changed := d.Changes(0)
			if _, ok := d.Deregister("a"); ok {
				t.Fatal("an unknown endpoint is known")
			}
			select {
			case <-changed:
			default:
				t.Error("watchers are not woken")
			}
			test.do(directory{d, clock})
			var missing []string
			for _, m := range d.Missing(0) {
				missing = append(missing, m.Endpoint)
			}
			if got := present(d); !slices.Equal(got, test.present) || !slices.Equal(missing, test.missing) {
				t.Errorf("present %v, want %v; missing %v, want %v", got, test.present, missing, test.missing)
			}
		})
	}
}

// TestMissingEndpointsAreBounded guards against deregistrations of unknown endpoints that fill the
// memory, and against watchers that miss some of them.
func TestMissingEndpointsAreBounded(t *testing.T) {
	d, _ := newDirectory()
	for i := range 3 * maxMissing {
		d.Deregister(fmt.Sprint("e", i))
	}
	d.Deregister("no name")
	list := d.Missing(0)
	if len(list) != maxMissing {
		t.Fatalf("%d are kept", len(list))
	}
	after := list[len(list)-3].Number
	isNewer := func(m boragewick.MissingEndpoint) bool { return m.Number > after }
	if rest := d.Missing(after); len(rest) != 2 || slices.ContainsFunc(rest, func(m boragewick.MissingEndpoint) bool { return !isNewer(m) }) {
		t.Errorf("%v after number %d", rest, after)
	}
}
