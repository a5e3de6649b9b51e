// Command standin2 plays the cases 6 to 10 of the review: it starts the program's processes, acts
// as their callers, back ends and platform, and checks one rule by what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(rec *record, d *deployment, trouble bool) (broken bool, err error){
	"replaced-core": replacedCore,
	"slow-move":     slowMove,
	"taken-up":      takenUp,
	"departed":      departed,
	"old-weights":   oldWeights,
	// These two are no cases; the report says what they show.
	"lost-answer": lostAnswer,
	"crash-part":  crashParts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the repository's root")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit code.
func run(name, folder string) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	d, err := newDeployment(rec)
	if err != nil {
		rec.log("could not run: %v", err)
		return exitFailed
	}
	defer d.stop()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](rec, d, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.log("could not run: %v", o.err)
			return exitFailed
		case o.broken:
			rec.log("the rule was broken")
			return exitBroken
		}
		rec.log("the rule held")
		return exitHeld
	case <-stop:
		rec.log("could not run: ended from outside")
	case <-time.After(maxTime):
		rec.log("could not run: not done within %s", maxTime)
	}
	return exitFailed
}
