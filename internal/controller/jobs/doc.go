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
// It reads the cluster state and the wait table, and acts on other modules by messages and
// commits only. It must not choose machines (package placement does), start or stop
// processes (the dispatchers do), or write records other than those of its own jobs.
package jobs
