// Package rules checks the rules of the protocol against what users and workers observed
// during a run: no task runs twice, limits and placement constraints are respected, and
// the answers to users are consistent.
//
// Check replays the events of a run in order of time. It uses only those events and the
// parameters of the rules, never the scheduler's own state, so that a fault of the scheduler
// cannot hide itself. It keeps no state between calls.
//
// Terms of the comments:
//   - run: one execution of a simulated cluster, from which all events originate
//   - gang: a job whose tasks all run at the same time
//   - attempt: the number of a task's start, which only ever increases for a task
//   - limit: the number of processors that the tasks of a team may use at once
//   - final state: done or cancelled; a job must not leave it
//   - grace: how long a state may continue after the response to the request that ends it,
//     for a cancellation or a change of a limit
package rules
