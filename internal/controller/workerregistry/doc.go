// Package workerregistry maintains the records of machines. A block is a value of the
// key-value store that holds the records of many machines. One member of the view, the
// registrar, writes all blocks during a term, so that no machine is ever in two blocks;
// dispatchers send it requests for changes (docs/machine-records.md).
//
// The package owns the index of the stored blocks and the registrar's pending writes.
// Package recordblock decides which blocks to write. This package emits transactions as
// actions. It must not modify the dispatcher's queues or the table of machines in
// clusterstate.State, which is updated from the stored records.
package workerregistry
