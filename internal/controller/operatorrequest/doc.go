// Package operatorrequest decides on operators' requests about reservations, maintenance
// windows, the dynamic configuration and the placement of shards.
//
// A decision is a reply and, for most changes, a transaction on the key-value store; the
// caller commits the transaction before it sends the reply. Requests may be repeated: a
// request that was carried out before is recognised by its ID and gets the same result.
//
// The package owns no state. It reads the calendar, the configuration, the view, the shard
// table, the wait table and the risks reported by the reservation planner. The source of
// truth for its decisions is the records, whose versions are conditions of its
// transactions. It must not change any of this state itself; it passes requested moves of
// shards to package membership.
package operatorrequest
