// Package sharding divides the machines into shards, each held by one controller, and
// decides which controller should hold which shard: it assigns shards without a holder,
// and moves shards so that every controller holds no more than it can serve. Which shard
// a machine belongs to depends on nothing but the shard table; only the holders change.
//
// The comments of this package use these terms:
//   - member: a controller in the current view, identified by its session, which is its lease
//     in the key-value store;
//   - holder: the member that sends commands to the machines of a shard;
//   - epoch: a counter in the shard table that rises with each change. A shard's epoch is the
//     fencing token of commands to its machines, so that workers refuse those of earlier
//     holders;
//   - load: of a shard, an estimate of the number of its machines plus 1; of a member, the
//     sum over the shards that it holds;
//   - weight, target: the capacity of a member relative to the others', and its part of the
//     total load in proportion to the weights;
//   - local: a shard is local to the members in its zone;
//   - move in flight: a change of a holder that the present holder was asked for less than
//     moveTimeout ago and that the shard table does not show yet;
//   - tick lateness: by how much a member's periodic work is delayed on average; a member
//     whose ticks are far later than the median member's is slow.
//
// The Balancer owns the moves in flight and the slowness of each member. The functions on
// a record.ShardTable change nothing but the table that is passed to them; the table in
// the key-value store is changed by package membership. The package does no input or
// output and reads no clock (docs/shares.md).
package sharding
