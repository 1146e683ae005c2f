// Package dispatcher queues and starts the attempts on the machines whose shards this
// controller holds.
//
// It owns the queue of each of these machines (what waits there, what runs, which
// commands its worker has been sent), the handovers of shards that are under way, and
// the log of changes by which peers follow the published state of the machines.
//
// It reads the cluster state of package clusterstate and asks for actions and peers'
// messages by its outputs. It must not touch membership, the jobs that this controller
// owns, or the choice of machines for their tasks: those belong to the other modules of
// package controller, which call it within their single-threaded step.
package dispatcher
