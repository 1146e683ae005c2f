// Package workerregistry maintains the records of machines: the record of a machine names
// the agent epoch (the incarnation of its worker) that may run tasks there. A block is a
// value of the key-value store that holds the records of many machines; a single record is
// stored under a key of its own, one key per machine. One member of the view, the
// registrar, writes all blocks during a term (the time of one view), so that no machine is
// ever in two blocks; dispatchers (the controllers that command the workers) send it
// requests for changes (docs/machine-records.md).
//
// Two more terms: the epoch of a record in a block serves as its version, and the registrar
// assigns a higher one whenever it replaces the record; the shard epoch is the number at
// which a dispatcher took over the machine's shard. The watch is the stream of changes that
// the key-value store sends to this controller.
//
// The package owns the index of the stored blocks and the registrar's pending writes.
// Package recordblock decides which blocks to write. This package emits transactions as
// actions. It must not modify the dispatcher's queues or the table of machines in
// clusterstate.State, which is updated from the stored records.
package workerregistry
