// Package workload observes which jobs arrive and estimates the resources that have to be
// reserved for them.
//
// It owns the job classes that have an objective in the settings, each with its recent
// arrivals, and the rate at which spot machines are preempted. Both are estimates of this
// controller alone: they are neither stored nor replicated. A new session drops the classes;
// the preemption rate is estimated over the lifetime of the process.
//
// Terms:
//   - class: a name that a job is submitted with, for which the settings may have objectives.
//   - objective: a time within which a share of a class's jobs should start or end. A start
//     objective limits the time until a task starts.
//   - arrival: a job that was accepted, with its number of tasks and its work in processor
//     seconds.
//   - boot time: the seconds until a machine that is provisioned now could run a job's task.
//   - gang: a job whose tasks all have to run at the same time.
//   - spot machine: a machine that the cloud may preempt: it takes the machine back.
//   - guarantee: the processors and GPUs up to which a team's tasks are served before tasks
//     outside a guarantee.
//
// The package reads the cluster state and the wait table. It must not change them and must
// not request machines: package autoscaler and package placement act on its estimates.
package workload
