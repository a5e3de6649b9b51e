package trace

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

func TestRingKeepsNewest(t *testing.T) {
	r := &Ring{Size: 3}
	for n := range 10 {
		r.Add(&boragewick.Trace{Request: boragewick.RequestID(fmt.Sprint(n))})
	}
	tests := map[string]struct {
		id   boragewick.RequestID
		want error
	}{
		"newest":      {"9", nil},
		"oldest kept": {"7", nil},
		"dropped":     {"6", boragewick.ErrUnknownObject},
		"never added": {"x", boragewick.ErrUnknownObject},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := r.Find(tt.id)
			if !errors.Is(err, tt.want) {
				t.Fatalf("got %v, want %v", err, tt.want)
			}
			if err == nil && got.Request != tt.id {
				t.Errorf("got %s", got.Request)
			}
		})
	}
	if len(r.byRequest) != 3 {
		t.Errorf("%d traces indexed", len(r.byRequest))
	}
}
