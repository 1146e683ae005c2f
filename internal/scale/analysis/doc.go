// Package analysis computes the metrics of a run from the events that workers and users
// observed: rule violations, task starts, the waits of each class, the effect of faults and a
// timeline.
//
// Its input is a Run, which it does not change. It keeps no state between calls and has no
// access to the processes of the run.
package analysis
