package slopes

import (
	"cmp"
	"context"
	"runtime"
	"syscall"
)

// defaultTries is how often each size is measured; the lowest cost is used.
const defaultTries = 3

// The units of costs.
const (
	unitBytes = "B"
	unitCPU   = "µs"
)

// measurement measures a cost at each of its sizes.
type measurement struct {
	name, unit, per string
	sizes           []int
	cost            func(ctx context.Context, size int) (float64, error)
	// tries is how often each size is measured; zero means defaultTries.
	tries int
}

// measurements returns all measurements in the order of the table.
func measurements() []measurement {
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
		lowest := 0.0
		for try := range cmp.Or(m.tries, defaultTries) {
			cost, err := m.cost(ctx, size)
			if err != nil {
				return s, err
			}
			if try == 0 || cost < lowest {
				lowest = cost
			}
		}
		s.Sizes = append(s.Sizes, float64(size))
		s.Costs = append(s.Costs, lowest)
	}
	s.fit()
	return s, nil
}

// processorTime returns the processor time, in microseconds, that the whole
// process uses while f runs.
func processorTime(f func() error) (float64, error) {
	runtime.GC()
	before, err := processorMicroseconds()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := processorMicroseconds()
	return after - before, err
}

func processorMicroseconds() (float64, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e3, nil
}

// memory returns the bytes of heap and stacks by which f increases the memory in
// use, including the value that f returns.
func memory(f func() (any, error)) (float64, error) {
	before := memoryInUse()
	made, err := f()
	after := memoryInUse()
	runtime.KeepAlive(made)
	return after - before, err
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
