// Package placement chooses the machines for the pending tasks of the jobs that this
// controller owns.
//
// Arrays are placed task by task, each on the candidate with the smallest expected wait
// per processor; gangs are placed as a whole or not at all. Team limits, capacity that is
// reserved for other classes, machines claimed by gangs, reservations, and the headroom
// for jobs without an objective bound what a job may take. Rebalancing recalls queued
// tasks from the longest queues when a machine elsewhere has free resources.
//
// Between two steps the Placer owns only its price premiums, the searches that failed
// recently, and the position at which the last rebalance stopped. Claims live for one
// step.
//
// The attempts themselves belong to package jobs: a placement changes them only by that
// package's methods and its own PlaceAttempt, and adds the expected wait to the waittable.
// Starting an attempt is the dispatcher's task. This package writes no records and must not
// change the cluster state, the reservations, or the workload statistics.
package placement
