package command

import (
	"bytes"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/boragewick/boragewick/hosting"
)

func TestHostedWithBadSettings(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "local.yaml")
	if err := os.WriteFile(broken, []byte("nodeName: [\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string][]string{
		"no file named":            {"hosted"},
		"no such file":             {"hosted", "-c", broken + "x"},
		"can't be read":            {"hosted", "-c", broken},
		"an argument":              {"hosted", "now"},
		"an unknown flag":          {"hosted", "--fast"},
		"zone cost without a unit": {"hosted", "--zone-cost", "30"},
		"zone cost of no kind":     {"hosted", "--zone-cost", "cheap"},
	}
	for name, args := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := Main(args, &stdout, &stderr); code != 2 {
				t.Errorf("exit code %d", code)
			}
			if n := strings.Count(strings.TrimSpace(stderr.String()), "\n"); n != 0 || stderr.Len() == 0 {
				t.Errorf("want one line on standard error, got %q", stderr.String())
			}
		})
	}
}

// TestNegativeZoneCost guards against a margin that drives requests out of the zone.
func TestNegativeZoneCost(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Main([]string{"hosted", "--zone-cost", "-1ms"}, &stdout, &stderr); code != 2 || !strings.Contains(stderr.String(), "--zone-cost -1ms is negative") {
		t.Errorf("exit code %d: %s", code, stderr.String())
	}
}

// TestHangupAtTheEnd guards against a SIGHUP that ends a process with a failure between the end
// of its drain and its exit.
func TestHangupAtTheEnd(t *testing.T) {
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
	stop := reloadOnHangup(&hosting.Node{Logger: log.NewNopLogger()}, filepath.Join(t.TempDir(), "none.yaml"))
	for i := range 4 {
		if i == 2 {
			stop()
		}
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
