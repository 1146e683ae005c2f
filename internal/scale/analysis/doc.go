// Package analysis computes the metrics of a run from the events that workers and users
// observed: rule violations, task starts, the waits of each class, the effect of faults and a
// timeline.
//
// Its input is a Run, which it does not change. It keeps no state between calls and has no
// access to the processes of the run.
//
// Terms of the comments:
//   - wait: the time from the submission of a job to the first start of a task
//   - gang: a job whose tasks all run at the same time; they start when the last one has started
//   - urgent job: a job of the class "urgent", whose tasks should all start within urgentTarget
//   - at its limit: the running tasks of a team leave too few processors of the team's limit for
//     all tasks of a job
//   - fault: a disturbance that the run injects, such as killed machines
package analysis
