// Package dispatcher queues task attempts and starts them on the machines whose shards this
// controller holds.
//
// It owns one queue for each of these machines (the attempts that wait, the attempts that
// run, the commands sent to the worker), the shard handovers in progress, and the change
// log by which peers follow the published state of the machines.
//
// It reads the cluster state of package clusterstate, and requests actions and sends peer
// messages through the outputs of that package. It must not change the membership, the jobs
// that this controller owns, or the choice of machines for their tasks: those belong to the
// other modules of package controller, which call the dispatcher within their
// single-threaded step.
//
// The comments of this package use these terms:
//
//   - view, term: the view lists the controllers that are members, each with its session
//     with the key-value store; the term is the number of the view.
//   - owner: the controller that places the tasks of a job on machines and is notified of
//     what becomes of them.
//   - dispatcher: the controller that commands the worker of a machine. It is said to
//     hold the machine and the machine's shard.
//   - shard, shard epoch: a shard is a group of machines of one zone with the same
//     dispatcher, as recorded in the shard table; the shard epoch is the number at which
//     that dispatcher took it over. Without a shard table, the view alone determines the
//     dispatcher.
//   - fencing token: the number that all commands to a worker carry: the latest one that the
//     dispatcher has issued to the machine, from the shard epoch to the shard's present
//     epoch number in the shard table, or the term without shards. A worker that has seen a
//     token executes no command with a lower one.
//   - fenced: a direct start is fenced once its worker has seen a later token. Neither the
//     start nor a copy of it, which the network may deliver minutes after the first one was
//     answered, can be executed then.
//   - attempt, entry: one execution of a task on one machine, and the dispatcher's state
//     of it.
//   - level: the order in which attempts are served: those within their team's guarantee
//     first, then by priority.
//   - release: to remove an attempt that was never executed from its queue and to notify
//     its owner, which places it again.
//   - gang: tasks of a job that wait for each other, since they run together.
//   - direct start, direct commands: orders sent to a worker without waiting for its next
//     heartbeat.
//   - settled: a start is settled once it can no longer be executed, for the first time or
//     once more.
//   - agent epoch: the number of the incarnation of a machine's worker. A new one begins
//     without the attempts of the earlier ones.
//   - lease: a controller commands workers only while it holds its lease of the key-value
//     store. A worker's lease is renewed by each reply to its heartbeat with status 200;
//     when it expires, the worker kills its attempts.
//   - silent: without a heartbeat for longer than a healthy worker may need.
//   - registered: the record of the machine's present agent epoch is in the key-value
//     store.
//   - inventory: a list, sent to each member, of the attempts of its jobs that wait for a
//     machine or are on it.
//   - handover: the transfer of a shard's queues to the controller that is to hold it.
//     Nothing is started on the shard meanwhile: it is frozen.
//   - published state: the state of a machine that this controller sends to all peers.
//   - hold, window: a hold keeps resources of a machine for a reservation from a given
//     time on; a window is a maintenance window, during which no task should run on the
//     machines that it covers.
//   - cordoned: no attempt is started on the machines of a zone or type, by order of the
//     configuration. Quarantined: none is started on a machine because several jobs failed
//     on it.
//   - replication interval: the period at which controllers send each other their state.
package dispatcher
