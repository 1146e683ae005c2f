// Package waittable estimates how long a task would wait on each machine.
//
// It owns the table of all registered machines. For each machine the table holds the state
// that the machine's dispatcher last published and the announced placements that this state
// does not include yet; for each peer controller it holds the positions in the replicated
// streams of machine and job states. The table is a cache: the source of truth for a
// machine's existence is its record in the key-value store, and for its queue and its free
// resources the dispatcher of its shard. A restarted controller fills the table from a
// peer's copy first, and then from the dispatchers' states as they arrive.
//
// The table must not write records, choose machines for tasks, or decide which
// controller dispatches to a machine.
package waittable
