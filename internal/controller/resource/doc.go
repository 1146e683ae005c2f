// Package resource calculates with the resources that machines have and tasks use: amounts
// of processors, accelerators and memory, and the amounts in use on a machine by level.
//
// A level combines a task's priority with whether the task is within its team's guarantee, the
// resources that the team's tasks may use ahead of all tasks outside of guarantees: tasks of
// higher levels are served first and may preempt, that is, stop, those of lower levels. An
// attempt is one placement of a task on a machine.
//
// It owns no state: its types are values that their users hold. Amounts are sums of decimal
// numbers; comparisons allow for their rounding errors.
package resource
