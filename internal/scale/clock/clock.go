package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the machine's monotonic time, which is the same in all processes of a run.
func Now() time.Duration {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &timespec); err != nil {
		panic(err) // unreachable: every Linux has this clock
	}
	return time.Duration(timespec.Nano())
}

// Seconds converts a number of seconds from a setting to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Milliseconds converts a number of milliseconds from a setting to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
