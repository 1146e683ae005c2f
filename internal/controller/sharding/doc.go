// Package sharding divides the machines into shards, each held by one controller, and
// decides which controller should hold which shard: it assigns shards without a holder,
// and moves shards so that every controller holds no more than it can serve. Which shard
// a machine belongs to depends on nothing but the shard table; only the holders change.
//
// The Balancer owns the moves in flight and the slowness of each member. The functions on
// a record.ShardTable change nothing but the table that is passed to them; the table in
// the key-value store is changed by package membership. The package does no input or
// output and reads no clock (docs/shares.md).
package sharding
