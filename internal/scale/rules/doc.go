// Package rules checks the rules of the protocol against what users and workers observed
// during a run: no task runs twice, limits and placement constraints are respected, and
// the answers to users are consistent.
//
// Check replays the events of a run in order of time. It uses only those events and the
// parameters of the rules, never the scheduler's own state, so that a fault of the scheduler
// cannot hide itself. It keeps no state between calls.
package rules
