// Package boottime reads CLOCK_BOOTTIME, which keeps counting while the
// instance is suspended and cannot be set.
package boottime

import (
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/boragewick/boragewick"
)

// Clock counts from the boot of the instance. Its times are comparable with
// each other but not with the time of day.
type Clock struct{}

var _ boragewick.Clock = Clock{}

// Now returns the time since boot, as an offset from the Unix epoch.
func (Clock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // CLOCK_BOOTTIME is available since Linux 2.6.39
	}
	return time.Unix(t.Unix())
}

// bootIDFile holds a random identifier that the kernel chooses at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Boot returns the identifier of the instance's boot. Times of the Clock are comparable
// only if their boots are the same.
func (Clock) Boot() (string, error) {
	b, err := os.ReadFile(bootIDFile)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "boot identifier")
}
