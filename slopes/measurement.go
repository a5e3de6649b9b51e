package slopes

import (
	"cmp"
	"context"
	"runtime"
	"syscall"
)

// defaultTries is how often each size is measured; the smallest cost counts.
const defaultTries = 3

// The units of costs.
const (
	unitBytes = "B"
	unitCPU   = "µs"
)

// measurement finds the cost at each of the sizes.
type measurement struct {
	name, unit, per string
	sizes           []int
	cost            func(ctx context.Context, size int) (float64, error)
	// tries is defaultTries when it is zero.
	tries int
}

// all lists the measurements in the order of the table.
func all() []measurement {
	var list []measurement
	for _, part := range [][]measurement{
		configurationCosts(), cacheCosts(), routerCosts(), claimCosts(), callCosts(), tokenCosts(), linkCosts(),
	} {
		list = append(list, part...)
	}
	return list
}

func (m *measurement) run(ctx context.Context) (Slope, error) {
	s := Slope{Name: m.name, Unit: m.unit, Per: m.per}
	for _, size := range m.sizes {
		least := 0.0
		for try := range cmp.Or(m.tries, defaultTries) {
			cost, err := m.cost(ctx, size)
			if err != nil {
				return s, err
			}
			if try == 0 || cost < least {
				least = cost
			}
		}
		s.Sizes = append(s.Sizes, float64(size))
		s.Costs = append(s.Costs, least)
	}
	s.fit()
	return s, nil
}

// processorTime returns the microseconds of processor time that f takes in the
// whole process.
func processorTime(f func() error) (float64, error) {
	runtime.GC()
	before, err := used()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := used()
	return after - before, err
}

func used() (float64, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e3, nil
}

// memory returns the bytes of heap and stacks that stay in use after f has
// returned what it made.
func memory(f func() (any, error)) (float64, error) {
	before := inUse()
	made, err := f()
	after := inUse()
	runtime.KeepAlive(made)
	return after - before, err
}

func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
