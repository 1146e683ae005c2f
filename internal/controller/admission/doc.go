// Package admission answers the requests of users: submissions, polls and
// cancellations of jobs.
//
// It owns the pending requests, a cache of the records of finished jobs, and the
// announcements of cancellations to all controllers. All of this is the state of one
// [Admission], whose step function handles one message at a time and returns the actions
// to execute. The caller executes the actions and passes their results back as messages.
//
// Each answer is based on the records in the key-value store, or on local state whose
// versions were compared with the store, and never on a guess. If neither is conclusive,
// the user gets 503 and may retry.
//
// The package itself reads no clock, opens no connections, doesn't write to the store and
// doesn't place tasks.
package admission
