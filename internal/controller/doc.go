// Package controller runs one controller of the cluster: it connects the modules that make
// the decisions, and carries messages between them and the outside.
//
// Core connects the modules. It holds one instance of each and is a step function over
// plain state: Step handles one message at a given time of the monotonic clock, passes it
// to the modules that it concerns, and returns the actions that they request. It does no
// I/O, starts no goroutine and reads no clock, so that package simulator can run the same
// code in simulated time.
//
// Node runs a Core: its core actor is the only goroutine that accesses the Core. Further
// actors hold the session with the key-value store (lease and watch), deliver messages to
// each peer, send commands to workers, and serve HTTP (package frontend).
//
// The comments of this package use these terms:
//   - record: a value in the key-value store. Every controller follows all records under one
//     prefix, that is, reads them at the beginning of a session and then watches them;
//   - session: the time during which a controller runs under one lease of the key-value
//     store; its number is the lease's;
//   - member, view, term: a controller in the current view; the view lists the members with
//     their sessions, and each new view has the next higher number, its term;
//   - peer: another member of the view (the wait table's peers include this controller itself);
//   - shard, holder, shard table: a fixed part of the machines, the member that dispatches to
//     them, and the record of all holders;
//   - dispatcher: of a machine, the member that queues tasks for it, sends commands to its
//     worker and answers the worker's heartbeats;
//   - fencing token: a number in each command to a worker, which refuses commands with a lower
//     number than it has received;
//   - owner: of a job, the member that places its tasks and records its end;
//   - registrar: the member that writes the blocks, records that hold many machines;
//   - attempt: one placement of a task on a machine; it is unverified until an inventory of its
//     machine decides whether it exists, and a task is unverified while an attempt of it may
//     exist that its owner has no record of: such a task must not be placed;
//   - inventory: the list of the attempts of one owner's jobs on a machine, which the machine's
//     dispatcher sends to the owner;
//   - wait table: the expected wait on each machine, by the states that dispatchers publish;
//   - hold: resources of a machine that are kept free for a reservation;
//   - tick: a message every tickInterval; state updates to all peers, and the work that is due
//     with them, follow once per replication interval, a setting of the operators;
//   - direct command: a request to a worker outside of the answers to its heartbeats.
//
// The decisions are made by the packages below. Each of them imports only packages that are
// listed before it or beside it:
//
//   - clock, resource, reservation, binpack, forecast, ordered, sharding, replication,
//     ratelimit, heartbeat, recordblock and dynamicconfig are types and algorithms without
//     a view of the cluster;
//   - message defines the messages to a Core, its actions and the messages of peers; outcome
//     translates errors into message.Outcome;
//   - clusterstate is the state that all modules share;
//   - membership, workerregistry, dispatcher and waittable, then workload and holds, then
//     jobs, placement, autoscaler and operatorrequest are the modules: each owns its state
//     and requests actions through the outputs of clusterstate;
//   - admission decides the answers to users in a step function of its own, which an actor
//     in frontend runs.
//
// None of them imports this package. Work that involves several modules in a fixed order,
// such as adopting a view or handling the end of a job, belongs here; a decision of a single
// module does not.
package controller
