// Package reservation holds the calendar of reservations and maintenance windows. It
// decides which of them can be accepted beside each other, on which machines resources
// are held for a reservation, and what state each reservation is in.
//
// It owns the [Calendar]: the entries and an index of their occurrences by time. All
// else is functions of their arguments: the caller passes the time of day, the machines
// and the work on them, and writes the records.
//
// The package must not read a clock, open a connection, or start and stop tasks. [Hold]
// and [Run] travel between controllers, which go by the names of their fields.
package reservation
