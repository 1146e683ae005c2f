// Package reservation holds the calendar of reservations and maintenance windows. It
// decides which of them can be accepted together, on which machines resources
// are held for a reservation, and what state each reservation is in.
//
// It owns the [Calendar]: the entries and an index of their occurrences by time. All
// other functions depend on their arguments only: the caller passes the wall-clock time,
// the machines and the tasks on them, and writes the records.
//
// The package must not read a clock, open a connection, or start and stop tasks. [Hold]
// and [Run] are encoded in messages between controllers by the names of their fields, which
// therefore must not change.
//
// Terms:
//   - reservation: a promise of resources for the tasks of a job, or of the jobs of a class,
//     at a time that may recur.
//   - window: a maintenance window, in which no new tasks start on the machines it covers.
//   - entry: a reservation or a window in the calendar.
//   - occurrence: one period in which an entry is in effect. A reservation has one current
//     occurrence, whose start its record holds.
//   - hold: the resources of one machine that are held for an occurrence from its start on.
//   - ClearBy, or Clear of a hold: the moment by which the held resources have to be free of
//     tasks that can't be stopped for the reservation.
//   - demand: an occurrence for which resources are to be held now.
//   - run: a task attempt that a machine runs or has in its queue.
//   - level: the rank of work by its team's guarantee and its priority; work of a higher
//     level may preempt work of a lower one.
//   - headroom: resources held for more tasks than needed, to make up for machines that are
//     lost or not free in time.
//   - spot machine: a cheaper machine that the cloud may preempt; the others are ordinary.
package reservation
