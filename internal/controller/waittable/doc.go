// Package waittable estimates how long a task would wait on each machine.
//
// It owns the table of all registered machines with the state that each machine's
// dispatcher last published, the announced placements which that state does not
// include yet, and, per peer controller, the positions in the replicated streams of
// machine and job states. The table is a cache: the source of truth for a machine's
// existence is its record in the key-value store, and for its queue and its free
// resources the dispatcher of its shard. A restarted controller fills it from a peer's
// copy first, and from the dispatchers' states as they arrive.
//
// The table must not write records, choose machines for tasks, or decide which
// controller dispatches to a machine.
package waittable
