package placement

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkSelect measures one choice of an endpoint in pools of several sizes, half
// of which have the prompt's shared parts cached.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{12, 117, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, _ := newPlacement(n)
			s := selection("sheet", "session", "own")
			for i := range n {
				reportCache(p, fmt.Sprintf("e%02d", i), i%3, s, "1", i%3)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Select(context.Background(), s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
