// Package clusterstate holds the state that all modules of a controller's core read: the
// watched records of the key-value store, the view, the shard table, the time, the
// settings and the configuration in force. It also derives values from this state alone,
// such as the dispatcher of a machine and the owner of a job.
//
// The comments of this package use these terms:
//   - core, module, step: the core is the decision-making state of a controller, made of
//     modules; in a step it handles one message;
//   - action: an effect that a step requests and the process executes, such as a transaction
//     on the key-value store;
//   - session: the lease in the key-value store under which this controller runs;
//   - view, term: the view lists the member controllers with their sessions; each new view
//     has the next higher number, its term;
//   - shard, holder, shard table: a fixed part of the machines, the member that dispatches to
//     them, and the record of all holders;
//   - epoch: a counter in the shard table that rises with each change;
//   - fencing token: a number in each command to a worker; a worker refuses commands with a
//     lower token than it has received;
//   - dispatcher: of a machine, the member that queues tasks for it, sends commands to its
//     worker and answers the worker's heartbeats;
//   - owner: of a job, the member that places its tasks and records its end;
//   - registrar: the member that writes the blocks, records that hold many machines;
//   - rendezvous hashing: a choice of a member by a hash of its name and a key, with the same
//     result on every controller that has the same view;
//   - hold: resources of a machine that are kept free for a reservation;
//   - window: a period of maintenance on some machines.
//
// Each part of a State is written by the one module that watches it; the others read it.
// The package makes no scheduling decisions. It must not import any module of the core,
// send messages or read a clock.
package clusterstate
