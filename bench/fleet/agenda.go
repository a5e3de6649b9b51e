package fleet

import (
	"container/heap"
	"time"
)

// Agenda is a discrete-event scheduler with a simulated clock. It is not safe
// for concurrent use.
type Agenda struct {
	now   time.Time
	tasks taskHeap
	count uint64
}

// NewAgenda returns an agenda whose clock is set to start.
func NewAgenda(start time.Time) *Agenda {
	return &Agenda{now: start}
}

// Now returns the simulated time: the instant of the current task.
func (a *Agenda) Now() time.Time { return a.now }

// At schedules f for the instant. Tasks for the same instant run in the order in
// which they were scheduled.
func (a *Agenda) At(at time.Time, f func()) {
	a.count++
	heap.Push(&a.tasks, task{at, a.count, f})
}

// After schedules f for the number of seconds from now.
func (a *Agenda) After(seconds float64, f func()) {
	a.At(a.now.Add(time.Duration(seconds*float64(time.Second))), f)
}

// Run runs tasks in order of time until none is left before the end.
func (a *Agenda) Run(end time.Time) {
	for len(a.tasks) > 0 && a.tasks[0].at.Before(end) {
		t := heap.Pop(&a.tasks).(task)
		a.now = t.at
		t.run()
	}
}

type task struct {
	at       time.Time
	sequence uint64
	run      func()
}

// taskHeap is a heap ordered by instant and then by sequence.
type taskHeap []task

func (t taskHeap) Len() int { return len(t) }

func (t taskHeap) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].sequence < t[j].sequence
	}
	return t[i].at.Before(t[j].at)
}

func (t taskHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *taskHeap) Push(x any) { *t = append(*t, x.(task)) }

// Pop implements heap.Interface.
func (t *taskHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
