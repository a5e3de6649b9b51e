package placement

import (
	"fmt"
	"testing"
	"time"
)

// TestManyRoutersChooseAtOnce answers the pattern of a large deployment in which many
// routers choose for similar prompts before any of them hears of the others' requests:
// one idle engine that has the prompt's first part gets half of them at most, while a
// single router goes to that engine.
func TestManyRoutersChooseAtOnce(t *testing.T) {
	const engines, perSecond = 117, 8
	tests := map[string]struct{ routers, most int }{
		"one router":   {1, 1},
		"nine routers": {9, 9},
		"70 routers":   {70, 35},
		"300 routers":  {300, 150},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			chosen := map[string]int{}
			for r := range test.routers {
				p, clock := newPlacement(engines)
				p.SetRouterCount(test.routers)
				s := selection("sheet", fmt.Sprint("session", r), "own")
				for i := range engines {
					parts := 0
					if i == 7 {
						parts = 1
					}
					reportCache(p, fmt.Sprintf("e%02d", i), 0, s, "1", parts)
				}
				for range 5 * perSecond {
					clock.now = clock.now.Add(time.Second / perSecond)
					p.spread.addRequest("p", clock.now)
				}
				chosen[bestCandidate(t, p, s).Endpoint.Name]++
			}
			for engine, n := range chosen {
				if n > test.most {
					t.Errorf("%d of %d requests go to %s", n, test.routers, engine)
				}
			}
			if test.routers == 1 && chosen["e07"] != 1 {
				t.Error("a single router doesn't go to the engine with the cached part")
			}
		})
	}
}
