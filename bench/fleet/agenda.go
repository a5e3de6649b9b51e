package fleet

import (
	"container/heap"
	"time"
)

// Agenda runs tasks in order of their instants on a clock of its own. It is
// used by one goroutine.
type Agenda struct {
	now   time.Time
	tasks tasks
	count uint64
}

// NewAgenda returns an agenda whose clock stands at start.
func NewAgenda(start time.Time) *Agenda {
	return &Agenda{now: start}
}

// Now returns the instant of the task that runs.
func (a *Agenda) Now() time.Time { return a.now }

// At runs f at the instant.
func (a *Agenda) At(at time.Time, f func()) {
	a.count++
	heap.Push(&a.tasks, task{at, a.count, f})
}

// After runs f some seconds from now.
func (a *Agenda) After(seconds float64, f func()) {
	a.At(a.now.Add(time.Duration(seconds*float64(time.Second))), f)
}

// Run runs the tasks until there are none before the end.
func (a *Agenda) Run(end time.Time) {
	for len(a.tasks) > 0 && a.tasks[0].at.Before(end) {
		t := heap.Pop(&a.tasks).(task)
		a.now = t.at
		t.run()
	}
}

type task struct {
	at     time.Time
	number uint64
	run    func()
}

// tasks is a heap by instant and then by number.
type tasks []task

func (t tasks) Len() int { return len(t) }

func (t tasks) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].number < t[j].number
	}
	return t[i].at.Before(t[j].at)
}

func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *tasks) Push(x any) { *t = append(*t, x.(task)) }

// Pop implements heap.Interface.
func (t *tasks) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
