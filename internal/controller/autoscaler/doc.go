// Package autoscaler scales the cluster's set of cloud machines out and in, and chooses the
// machines on which resources are held for reservations.
//
// One member of the view does this work at a time, selected by rendezvous hashing. An
// Autoscaler owns that controller's state about the cloud: the last list of machines, the
// requests to provision and to terminate machines that have no answer yet, the booting
// machines, and the kinds of machines that the cloud has refused or that fail to boot. A
// ReservationPlanner owns the last plan for the reservations, their risks, and the pending
// transactions on their records.
//
// All of this is a cache, which is empty at the start of a session. The source of truth
// for the existing machines is the cloud's list, for registered machines and reservations
// the records in the key-value store, and for the machines' states the wait table. Every
// request to provision machines has a name by which the cloud recognises a repetition, so
// that a lost answer never leads to duplicate machines.
//
// The package must not place tasks or change the queues of dispatchers. The only records
// that it writes are those of reservations; the only ones that it deletes are those of
// terminated machines.
package autoscaler
