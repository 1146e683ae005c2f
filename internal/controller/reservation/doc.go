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
package reservation
