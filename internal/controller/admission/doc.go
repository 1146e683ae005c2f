// Package admission answers the requests of users: submissions, polls and
// cancellations of jobs.
//
// It owns the requests that wait for an answer, a cache of the records of finished
// jobs, and the announcements of cancellations to the other controllers. All of it is
// the state of one [Admission], which is a step function: it takes one message at a
// time and returns the actions to execute. The caller executes them and brings their
// results back as messages.
//
// An answer comes from the records of the key-value store, or from a view that was
// compared with them, never from a guess: where neither can tell, the user gets 503
// and may repeat the request.
//
// The package must not read a clock, open a connection or write to the store by
// itself, and it places no tasks.
package admission
