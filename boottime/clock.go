// Package boottime reads a clock that also counts while the instance is
// suspended and that nobody sets.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/boragewick/boragewick"
)

// Clock counts from the start of the instance. Its instants compare with each
// other and not with the time of day.
type Clock struct{}

var _ boragewick.Clock = Clock{}

// Now returns the time since the instance's start as an instant after 1970.
func (Clock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux kernel since 2.6.39 has the clock
	}
	return time.Unix(t.Unix())
}
