package session

import (
	"context"
	"time"
)

// workerIdleTimeout is how long a worker waits for another job before it exits.
const workerIdleTimeout = time.Second

// workers runs jobs in goroutines that are reused while there are jobs, so that
// a stack need not be grown again for each job.
type workers struct {
	jobs chan func()
}

// run starts the job at once. Idle workers exit when ctx is done.
func (w *workers) run(ctx context.Context, job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(ctx, job)
	}
}

// work runs jobs until none has arrived for workerIdleTimeout or ctx is done.
func (w *workers) work(ctx context.Context, job func()) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		job()
		idle.Reset(workerIdleTimeout)
		select {
		case job = <-w.jobs:
		case <-idle.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
