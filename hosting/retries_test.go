package hosting

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragewick/boragewick/retry"
)

// fixedClock is a clock that tests advance.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

// TestRetriesOfAllRouters answers the pattern in which every request at every router
// fails: however many routers there are, together they stay within the deployment's
// burst in any window of ten seconds.
func TestRetriesOfAllRouters(t *testing.T) {
	const burst, seconds = 180.0, 10
	for _, n := range []int{3, 30, 100, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			total := 0
			for range n {
				c := &fixedClock{time.Unix(1000, 0)}
				b := &retry.Budget{Clock: c, Fraction: 0.12}
				shareRetries(b, burst, 0)
				shareRetries(b, burst, n)
				for range seconds * 10 {
					c.now = c.now.Add(100 * time.Millisecond)
					for {
						if _, ok := b.TakeRetry("pool", 1); !ok {
							break
						}
						total++
					}
				}
			}
			if limit := burst + retryRefillPerSecond*seconds; float64(total) > limit {
				t.Errorf("%d retries without any request, limit %g", total, limit)
			}
		})
	}
}
