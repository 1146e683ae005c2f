// Package clock provides a monotonic time that is the same in all processes of a run, and
// converts durations from settings. It holds no state.
package clock
