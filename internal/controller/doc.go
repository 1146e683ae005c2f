// Package controller runs one controller of the cluster: it wires the modules that
// decide to each other, and carries the messages between them and the outside.
//
// Core is the wiring. It holds one value of each module and is a step function over
// plain state: Step takes one message at the time of the steady clock, passes it to the
// modules that it concerns, and returns the actions that they ask for. It does no I/O,
// starts no goroutine and reads no clock, so that package simulator runs the same code in
// simulated time.
//
// Node is the outside of a Core: an actor, the only goroutine that touches the Core, with
// further actors that hold the session on the key-value store (lease and watch), pass
// messages to each peer, command workers, and serve HTTP (package frontend).
//
// The decisions are made by the packages below, each of which imports only packages named
// before it or beside it:
//
//   - clock, resource, reservation, binpack, forecast, ordered, sharding, replication,
//     ratelimit, heartbeat, recordblock and dynamicconfig are types and algorithms without
//     a view of the cluster;
//   - message holds the messages to a Core, its actions and the messages of peers; outcome
//     translates errors into message.Outcome;
//   - clusterstate is the state that all modules share;
//   - membership, workerregistry, dispatcher and waittable, then workload and holds, then
//     jobs, placement, autoscaler and operatorrequest are the modules: each owns its state
//     and asks for actions by the outputs of clusterstate;
//   - admission decides the answers to users in a step function of its own, whose actor is
//     in frontend.
//
// None of them imports this package. What concerns several modules in a fixed order, such
// as adopting a view or the end of a job, belongs here; what one module decides by itself
// does not.
package controller
