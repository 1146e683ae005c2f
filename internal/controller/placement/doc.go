// Package placement chooses the machines for the pending tasks of the jobs that this
// controller owns.
//
// Arrays are placed task by task, each on the candidate with the smallest expected wait
// per processor; gangs are placed as a whole or not at all. The resources that a job may
// use are bounded by the team's limit, the capacity reserves of other classes, machines
// claimed by gangs, reservations, and the headroom for jobs without an objective.
// Rebalancing recalls queued tasks from the longest queues when another machine has free
// resources.
//
// Terms:
//   - step: the handling of one message by the controller's core.
//   - placing round: one pass over the jobs with pending tasks, within a step.
//   - expected wait: the seconds until a task would start on a machine, that is, the
//     processor seconds queued before it divided by the machine's processors, plus the fetch
//     of its image.
//   - usable machine: one that accepts placements (see waittable.Table.Usable).
//   - gang: a job whose tasks all have to run at the same time. All other jobs are placed as
//     arrays.
//   - level: the order in which machines serve tasks, by their team's guarantee and by
//     priority; a task may preempt tasks of lower levels.
//   - limit: the most processors and GPUs that the tasks of a team may use, queued ones
//     included; usage is what its attempts may be using.
//   - class reserve: free resources for a number of tasks of a job class with an objective for
//     the time until a task starts.
//   - claim: machines that a gang which could not be placed keeps from other gangs for a step.
//   - hold: resources of a machine that are held for a reservation.
//   - headroom: the processors that jobs with an objective are not expected to need; jobs
//     without an objective are confined to it.
//   - release: the dispatcher drops an attempt that it has not sent to its worker; its task is
//     then placed again.
//   - Place message: sends placements to the dispatcher of their machines; each controller
//     numbers its own messages to each dispatcher.
//
// Between two steps the Placer owns only its price premiums, the searches that failed
// recently, the time of the next placing round, and the position at which the last
// rebalance stopped. Claims are valid for one step.
//
// The attempts belong to package jobs: this package changes them only through that
// package's methods and its own PlaceAttempt, which also adds the expected wait to the
// wait table. The dispatcher starts the attempts. This package writes no records and must
// not change the cluster state, the reservations, or the workload statistics.
package placement
