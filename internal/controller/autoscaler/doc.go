// Package autoscaler scales the set of rented machines out and in, and chooses on which
// machines resources are held for reservations.
//
// One member of the view does this work at a time, chosen by rendezvous hashing. An
// Autoscaler owns what that controller knows of the cloud: the last list of machines, the
// requests to provision and to terminate machines that have no answer yet, the machines
// that are booting, and the kinds of machines that the cloud has refused or that do not
// come up. A ReservationPlanner owns the last plan of the reservations, their risks, and
// the transactions on their records that are under way.
//
// All of this is a cache that a new session starts without. The source of truth for the
// machines that exist is the cloud's list, for registered machines and reservations the
// records in the key-value store, and for the machines' states the wait table. Every
// request to provision machines has a name by which the cloud recognises a repetition, so
// that a lost answer never provisions twice.
//
// The package must not place tasks, change the queues of dispatchers, or write records
// but those of reservations and the removal of the records of terminated machines.
package autoscaler
