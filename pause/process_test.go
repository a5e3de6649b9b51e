package pause

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/boragewick/boragewick/boottime"
)

// answersVar is set in the process that TestStoppedProcess stops.
const answersVar = "BORAGEWICK_PAUSE_ANSWERS"

// TestStoppedProcess guards against a process whose first act after it stood still goes by what it
// heard before, as the goroutine that is to notice has not run yet.
func TestStoppedProcess(t *testing.T) {
	if os.Getenv(answersVar) != "" {
		answer(t)
		return
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^TestStoppedProcess$")
	cmd.Env = append(os.Environ(), answersVar+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = in.Close()
		_ = cmd.Wait()
	}()
	r := bufio.NewReader(out)
	ask := func() bool {
		if _, err := fmt.Fprintln(in); err != nil {
			t.Fatal(err)
		}
		var fresh bool
		if _, err := fmt.Fscanln(r, &fresh); err != nil {
			t.Fatal(err)
		}
		return fresh
	}
	awaitFresh := func() {
		for deadline := time.Now().Add(5 * time.Second); !ask(); time.Sleep(checkInterval) {
			if time.Now().After(deadline) {
				t.Fatal("nothing that is heard counts")
			}
		}
	}
	ask()
	awaitFresh()
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(minPause)
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if ask() {
		t.Error("what was heard before the pause still counts")
	}
	if ask() {
		t.Error("what was heard just after the pause counts")
	}
	awaitFresh()
}

// answer tells for each line of the input whether the arrival of the line before still counts.
func answer(t *testing.T) {
	t.Helper()
	var m Monitor
	go func() { _ = m.Run(t.Context()) }()
	time.Sleep(checkInterval)
	lines := bufio.NewScanner(os.Stdin)
	var heardAt time.Time
	for lines.Scan() {
		fmt.Println(m.IsSinceResume(heardAt))
		heardAt = boottime.Clock{}.Now()
	}
}
