package fleet

import (
	"container/heap"
	"time"
)

// Scheduler is a discrete-event scheduler with a simulated clock. It is not
// safe for concurrent use.
type Scheduler struct {
	now   time.Time
	tasks taskHeap
	count uint64
}

// NewScheduler returns a Scheduler whose clock is set to start.
func NewScheduler(start time.Time) *Scheduler {
	return &Scheduler{now: start}
}

// Now returns the simulated time: the instant of the current task.
func (a *Scheduler) Now() time.Time { return a.now }

// At schedules f for the instant. Tasks for the same instant run in the order in
// which they were scheduled.
func (a *Scheduler) At(at time.Time, f func()) {
	a.count++
	heap.Push(&a.tasks, task{at, a.count, f})
}

// After schedules f for the number of seconds from now.
func (a *Scheduler) After(seconds float64, f func()) {
	a.At(a.now.Add(time.Duration(seconds*float64(time.Second))), f)
}

// Run runs tasks in order of time until none is left before the end.
func (a *Scheduler) Run(end time.Time) {
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
