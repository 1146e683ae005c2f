// Package clock gives all processes of a run the same monotonic time, and converts the
// durations of settings. It holds no state.
package clock
