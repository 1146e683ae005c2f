// Package sharding divides the machines into shards, each held by one controller, and
// decides who should hold which: who takes over shards without a holder, and which
// shards move so that every controller holds what it can serve. Which shard a machine
// belongs to depends on nothing but the shard table; only the holders change.
//
// The Balancer owns the moves in flight and the pace of each member. The functions on a
// record.ShardTable change nothing but the table that they are given; the table in the
// key-value store is changed by package membership. The package does no input or output
// and reads no clock (docs/shares.md).
package sharding
