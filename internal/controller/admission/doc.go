// Package admission answers the requests of users: submissions, polls and cancellations of
// jobs.
//
// It owns the pending requests, a cache of the records of finished jobs, and the
// announcements of cancellations to all controllers. All of this is the state of one
// [Admission], whose step function handles one message at a time and returns the actions to
// execute. The caller executes the actions and passes their results back as messages.
//
// Each answer is based on the records in the key-value store, or on local state whose
// versions were compared with the store, and never on a guess. If neither is conclusive,
// the user gets 503 and may retry.
//
// The comments of this package use these terms:
//
//   - live job: a job that is accepted and neither done nor cancelled; the others are
//     finished. A finished job's record never changes again and is called its final record.
//   - settled: a request is settled once its answer is certain.
//   - core: the state machine of this controller, which observes the records with a lag
//     and has the progress of live jobs.
//   - view, member: the view is the agreed list of controllers; the controllers in it are
//     its members. Only a member that holds its lease of the key-value store may start
//     tasks.
//   - announcement: the notification of all controllers that a job is cancelled.
//   - comparison: one transaction that compares the versions of many jobs' records with
//     those that the core has observed, in order to answer the polls of these jobs.
//   - allotment: this controller's part of the rates at which the key-value store accepts
//     requests.
//
// The package itself reads no clock, opens no connections, doesn't write to the store and
// doesn't place tasks.
package admission
