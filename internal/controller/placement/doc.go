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
// Between two steps the Placer owns only its price premiums, the searches that failed
// recently, the time of the next placing round, and the position at which the last
// rebalance stopped. Claims are valid for one step.
//
// The attempts belong to package jobs: this package changes them only through that
// package's methods and its own PlaceAttempt, which also adds the expected wait to the
// wait table. The dispatcher starts the attempts. This package writes no records and must
// not change the cluster state, the reservations, or the workload statistics.
package placement
