// Package membership decides which controllers are members of the cluster. It tracks
// which controllers are registered in the key-value store, writes the next view when
// that changes, excludes members that workers cannot reach, deduplicates the batches of
// peers, and changes the shard table: it assigns shards without a holder, and moves
// shards from loaded members to others.
//
// The comments of this package use these terms:
//   - session: the lease in the key-value store under which a controller runs; a controller
//     that restarts or loses its lease gets a new one;
//   - registered: the key-value store has a node record of the controller, which is deleted
//     with its lease;
//   - view, term: the view lists the members with their sessions; each new view has the next
//     higher number, its term;
//   - peer: another member of the view (the map of peers also has this controller itself);
//   - shard, holder: a fixed part of the machines, and the member that dispatches to them, that
//     is, sends commands to their workers;
//   - shard table, epoch: the record of all holders, and a counter in it that rises with
//     each change; a shard's epoch is the fencing token of commands to its machines, so that
//     workers refuse commands of earlier holders;
//   - unreachable (Deaf in the records): a member that workers can't reach, which holds no
//     shards although it renews its lease;
//   - cordoned (Away in the records): a member that holds no shards because an operator
//     requested it;
//   - replication interval: the time between two state updates that members send each other.
//
// It owns the registered nodes, the state of each peer's session, the reachability
// counts and the balancer (package sharding decides which shards move). It sets View,
// ViewVersion, Shards and ShardsVersion of the shared clusterstate.State, and reads the
// rest of it. It does no input or output: transactions and messages are emitted as
// actions. It must not modify machines' records, jobs or the dispatcher's queues.
package membership
