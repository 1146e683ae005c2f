package clock

import "time"

// Time is a time of a process's monotonic clock, in nanoseconds since the process started.
// 0 means never, or that the time is not set. Times of different processes can't be compared.
type Time int64

// Add returns the time that is a duration later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Since returns the duration from an earlier time to t; it is negative for a later one.
func (t Time) Since(from Time) time.Duration { return time.Duration(t - from) }

// driftDivisor bounds the drift between the clocks of two hosts within a time: it is at most that
// time divided by driftDivisor.
const driftDivisor = 500

// MaxDrift returns by how much the clocks of two hosts drift apart at most within a time.
func MaxDrift(d time.Duration) time.Duration { return d / driftDivisor }
