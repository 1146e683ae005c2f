package scale

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the machine's steady clock: the same for all processes of a run.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &at); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(at.Nano())
}

// seconds turns a setting in seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// milliseconds turns a setting in milliseconds into a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
