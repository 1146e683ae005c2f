// Package message defines the messages of the controller: the messages between controllers,
// which net/rpc encodes with gob, the messages to the step function of a controller's core,
// and the actions that a step returns.
//
// The package owns no state. Gob identifies fields by their exported names, so the names
// and types of the fields of peers' messages, and the numbers of the constants in them,
// must not change: a renamed field would arrive as zero, without an error. Types may be
// renamed. The tests of package compat decode messages in the form in which they were first
// sent.
//
// Some field names are older than the terms used elsewhere: Tenure is the epoch at which
// the holder of a shard took it over, Share is a shard, Acting means that a controller
// holds its lease, Relay is a state update, Loan is a grant of rates, Heard means that the
// attempts on a machine are known, Sole that no other controller can have started any,
// Saved that a checkpoint was saved, and Reap that the worker may forget an attempt.
//
// The comments of this package use these terms:
//
//   - core, step, action: the core is a controller's state machine; a step is its
//     handling of one message, and an action is what a step asks its caller to do.
//   - view, term: the view lists the member controllers with their sessions; the term is
//     its number.
//   - session, lease: a controller's session with the key-value store, named by the ID of
//     its lease there. A controller holds its lease if it has not expired by its own clock
//     and the view contains the session.
//   - owner: the controller that places the tasks of a job on machines.
//   - dispatcher: the controller that commands the worker of a machine; with shards, the
//     holder of the machine's shard.
//   - shard: a group of machines of one zone that one controller holds, as the shard
//     table records. Its epoch is a number that rises when its holder changes or a start
//     has to be fenced off.
//   - fencing token: the number carried by the commands to a worker; a worker that has
//     seen a token executes no command with a lower one.
//   - attempt: one execution of a task on one machine.
//   - agent epoch: the number of the incarnation of a machine's worker.
//   - level: the order in which machines serve tasks: those within their team's guarantee
//     first, then by priority.
//   - registrar: the member that writes the records of machines.
//   - hold: resources of a machine kept free for a reservation.
//   - wait table: a controller's table of the expected wait of each machine.
//   - gang: tasks of a job that are placed together and wait for each other.
package message
