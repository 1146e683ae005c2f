// Package operatorrequest decides operators' requests on reservations, maintenance windows,
// the dynamic configuration and the placement of shards.
//
// A decision is an answer and, for most changes, a transaction on the key-value store; the
// caller commits it before it gives the answer. Requests may be repeated: one that was
// carried out before is recognised by its ID and gets the same answer.
//
// The package owns no state. It reads the calendar, the configuration, the view, the shard
// table, the wait table and the risks of the reservation planner; the source of truth for
// what it decides on are the records, whose versions are conditions of its transactions.
// It must not change any of them itself; requested moves of shards it passes to package
// membership.
package operatorrequest
