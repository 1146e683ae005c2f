package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the machine's monotonic time, which is the same in all processes of a run.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &at); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(at.Nano())
}

// Seconds turns a setting in seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Milliseconds turns a setting in milliseconds into a duration.
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
