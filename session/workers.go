package session

import (
	"context"
	"time"
)

// workerIdle is how long a worker waits for another job.
const workerIdle = time.Second

// workers runs jobs in goroutines that are used again while there are jobs, so
// that their stacks need not grow anew for each one.
type workers struct {
	jobs chan func()
}

// run starts the job at once. Idle workers end with ctx.
func (w *workers) run(ctx context.Context, job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(ctx, job)
	}
}

// work runs jobs until none has come for a while.
func (w *workers) work(ctx context.Context, job func()) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		job()
		idle.Reset(workerIdle)
		select {
		case job = <-w.jobs:
		case <-idle.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
