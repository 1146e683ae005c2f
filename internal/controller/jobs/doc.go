// Package jobs keeps the state of the live jobs that this controller owns: which of their
// tasks are done, which are pending, and which attempts may exist.
//
// It owns the attempts. Between two writes of a job's records it is the only source of
// truth for what has been placed: the key-value store holds the job itself and the bitmap
// of its finished tasks, but no attempts. After a failover the new owner rebuilds them from
// the inventories of the machines. Until every machine has sent its inventory, tasks that
// no inventory lists are unverified and must not be placed. An attempt is dropped only on
// proof that it no longer exists: a report of its dispatcher, an inventory that does not
// list it, or the loss of its machine.
//
// The package also writes the bitmaps and the final records of jobs, estimates run times,
// detects slow machines by tasks that run far longer than the other tasks of their job, and
// detects jobs that fail on every machine.
//
// Terms:
//   - view, term: the controllers that are members at present, and the number of that view.
//   - session: the time for which a controller holds one lease of the key-value store. While
//     this controller's lease has not expired by its own clock and the view contains its
//     session, it may change jobs and send commands: it holds its lease.
//   - owner: the controller that places a job's tasks, and writes its bitmap and final record.
//   - dispatcher: the controller that queues and starts attempts on a machine.
//   - gang: a job whose tasks all have to run at the same time. The tasks of a job array are
//     independent; those of a service run until the job is cancelled.
//   - attempt: one placement of a task on one machine, with a number of its own.
//   - inventory: a dispatcher's complete list of the attempts of one owner's jobs on a
//     machine.
//   - unverified: may exist, but has to be confirmed by an inventory after a change of the
//     owner or the dispatcher.
//   - shard, shard epoch: a group of machines with one dispatcher, and the epoch since which
//     it has had that dispatcher.
//   - Place message: sends placements to a dispatcher; each owner numbers its own messages
//     to each dispatcher.
//   - chunk: the part of a job's bitmap in one record, for record.ChunkTasks tasks.
//   - release: the dispatcher drops an attempt that it has not sent to its worker.
//   - failing job, trial: a job that fails on every machine, and an attempt by which its owner
//     tests whether it still does.
//   - level: the order in which machines serve tasks, by their team's guarantee and by
//     priority; tasks of lower levels may be preempted.
//   - headroom: the processors that jobs with an objective are not expected to need.
//   - limited team: a team whose use of processors or GPUs may be limited, now or after a
//     change of the configuration.
//
// It reads the cluster state and the wait table, and acts on other modules by messages and
// commits only. It must not choose machines (package placement does), start or stop
// processes (the dispatchers do), or write records other than those of its own jobs.
package jobs
