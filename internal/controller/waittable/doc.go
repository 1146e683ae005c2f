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
// Terms:
//   - wait: the processor seconds of work that is queued or running on a machine; divided by
//     its processors, the seconds until a further task starts.
//   - published state: what a dispatcher sends all peers about each of its machines: wait, free
//     resources, queue and condition.
//   - pending placement: a placement that an owner has announced and that the published state
//     does not include yet.
//   - Place message: sends placements to a dispatcher; each owner numbers its own messages to
//     each dispatcher, and published states name the last number that they include.
//   - peer: a controller in the present view, in Table.Peers including this one, with
//     its session: the time for which it holds one lease of the key-value store. A new term
//     begins with each new view.
//   - epoch of a machine: the version of its record, which a state has to match.
//   - shard: a group of machines with one dispatcher.
//   - stream: numbered changes of machine or job states, replicated to one peer.
//   - level: the order in which machines serve tasks, by their team's guarantee and by
//     priority; a task may preempt tasks of lower levels.
//   - hold: resources of a machine that are held for a reservation.
//
// The table must not write records, choose machines for tasks, or decide which
// controller dispatches to a machine.
package waittable
