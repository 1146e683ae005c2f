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
