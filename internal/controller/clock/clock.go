// Package clock holds the times that decisions reckon with.
package clock

import "time"

// Time is a process's steady clock, in nanoseconds since it started; 0 is
// never.
type Time int64

// Add is so much later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Since is how long ago another time was.
func (t Time) Since(from Time) time.Duration { return time.Duration(t - from) }
