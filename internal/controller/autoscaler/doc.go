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
//
// Terms:
//   - view: the record that lists the controllers that take part, its members, and is
//     numbered by its term; a session is the time for which a controller holds one lease in
//     the key-value store.
//   - kind: a machine type in a zone, spot or on-demand ([binpack.Kind]).
//   - booting machine: provisioned, but its worker has not registered yet; it is overdue
//     after its boot timeout and counts as failed after its boot deadline.
//   - canary: the only machine of a kind that is requested at a time after several machines
//     of the kind were overdue. Its registration ends the restriction.
//   - state of a machine: what its dispatcher, the controller that queues and starts the
//     attempts on it, last published about it; kept in the wait table.
//   - demand: the unstarted tasks of one job, or of one reserved occurrence.
//   - hold: the resources of one machine that are kept for a reservation.
//   - start objective: an objective for the time until the jobs of a class start.
//   - headroom: processors beyond those that present and expected work needs; idle machines
//     are drained only within it.
//   - drain: no more attempts are started on a machine, which is then terminated.
//   - window: a maintenance window, during which the machines it covers start no new tasks.
package autoscaler
