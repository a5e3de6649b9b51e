package dev

import (
	"context"
	"net/http"
	"testing"

	"github.com/boragewick/boragewick"
)

// TestRollout moves a route to new weights while requests are sent; every one
// must be answered.
func TestRollout(t *testing.T) {
	s := startSystem(t, t.TempDir())
	if w := s.do("POST", "/v1/chat/completions", s.Key, chat); w.status != http.StatusOK {
		t.Fatalf("before the rollout: status %d, %s", w.status, w.text)
	}
	s.apply("[route /demo/model]\nnext_weights = v2\n")
	answers := 0
	for {
		if w := s.do("POST", "/v1/chat/completions", s.Key, chat); w.status != http.StatusOK {
			t.Fatalf("answer %d: status %d, %s", answers, w.status, w.text)
		}
		answers++
		got, err := s.client().Get(context.Background(), boragewick.KindRoute, "/demo/model")
		if err != nil {
			t.Fatal(err)
		}
		if r := got.Objects[0].Route; r.Weights == "v2" && r.NextWeights == "" {
			break
		}
	}
	for range 20 {
		if w := s.do("POST", "/v1/chat/completions", s.Key, chat); w.status != http.StatusOK {
			t.Fatalf("after the switch: status %d, %s", w.status, w.text)
		}
	}
	t.Logf("%d answers before the switch", answers)
}
