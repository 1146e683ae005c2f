// Package frontend is the HTTP interface of a controller. It routes the requests of users,
// workers, operators and health checks, and writes their answers.
//
// It owns the actor around an admission.Admission, which decides the answers to users. The
// actor holds the pending requests and executes the calls to the key-value store and to
// peers that Admission requests. The package also owns the goroutines of operators'
// requests. Statuses and bodies of the answers are part of the service's interface and
// must stay the same byte for byte.
//
// Terms:
//   - actor: a goroutine that alone accesses a state and handles one message at a time from its
//     mailbox, the queue of its messages.
//   - core: the single-threaded state machine of the controller, which runs in an actor of its
//     own and schedules the jobs.
//   - Admission, action: the state machine that decides the answers to users, and what it
//     requests in a step, such as a read of a record or a reply.
//   - tick: a message by which Admission does the work that is due by the clock.
//   - configuration in force: the settings with the operators' changes that the core has
//     observed in the records.
//   - peer: another controller of the same service.
//   - record: a value in the key-value store.
//
// The package reaches everything else through Controller. It must not access the state of
// the controller's core, and makes no decisions about jobs, machines or the configuration.
package frontend
