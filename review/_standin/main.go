// Command standin runs one case of the review against the programs of a small
// deployment, which it starts as separate processes on loopback addresses. It stands
// in for the platform, the operator, the callers and the servers.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runTimeout ends a case that hangs.
const runTimeout = 115 * time.Second

// errNotRun marks errors that show nothing about the rule.
var errNotRun = errors.New("case could not run")

// cases maps the name of a case to the function that plays it. The function reports
// whether the rule was broken.
var cases = map[string]func(r *run) (broken bool, err error){}

// run is one play of a case.
type run struct {
	*record
	*deployment
	// trouble reports whether the disruption is played.
	trouble bool
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %s\n", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		rec.log("case could not run: %v", err)
		return exitNotRun
	}
	defer d.shutdown()
	r := &run{record: rec, deployment: d, trouble: os.Getenv("TROUBLE") != "0"}
	rec.log("case %s, disruption played: %t", os.Args[1], r.trouble)

	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(r)
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.log("case could not run: %v", o.err)
			return exitNotRun
		case o.broken:
			rec.log("RESULT: the rule was broken")
			return exitBroken
		}
		rec.log("RESULT: the rule held")
		return exitHeld
	case <-time.After(runTimeout):
		rec.log("case could not run: timeout")
	case s := <-stop:
		rec.log("case could not run: %s", s)
	}
	return exitNotRun
}
