// Package dispatcher queues task attempts and starts them on the machines whose shards
// this controller holds.
//
// It owns one queue for each of these machines (the attempts that wait, the attempts that
// run, the commands sent to the worker), the shard handovers in progress, and the change
// log by which peers follow the published state of the machines.
//
// It reads the cluster state of package clusterstate, and requests actions and sends peer
// messages through the outputs of that package. It must not change the membership, the
// jobs that this controller owns, or the choice of machines for their tasks: those belong
// to the other modules of package controller, which call the dispatcher within their
// single-threaded step.
package dispatcher
