// Package analysis computes the metrics of a run from what was observed at workers and
// users: broken rules, starts, waits of each class, the effect of faults and a timeline.
//
// Its input is a Run, which it does not change; it keeps no state between calls and has no
// access to the processes of the run.
package analysis
