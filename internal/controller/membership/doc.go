// Package membership decides which controllers are members of the cluster. It tracks
// which controllers are registered in the key-value store, writes the next view when
// that changes, excludes members that workers cannot reach, deduplicates the batches of
// peers, and changes the shard table: it assigns shards without a holder, and moves
// shards from loaded members to others.
//
// It owns the registered nodes, the state of each peer's session, the reachability
// counts and the balancer (package sharding decides which shards move). It sets View,
// ViewVersion, Shards and ShardsVersion of the shared clusterstate.State, and reads the
// rest of it. It does no input or output: transactions and messages are emitted as
// actions. It must not modify machines' records, jobs or the dispatcher's queues.
package membership
