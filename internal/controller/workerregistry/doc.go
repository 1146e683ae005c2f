// Package workerregistry maintains the records of machines, many of which are stored in
// one block. One member of the view, the registrar, writes the blocks of a term, so that
// no machine is ever in two blocks; dispatchers ask it for changes
// (docs/machine-records.md).
//
// It owns the index of the blocks in the key-value store and the registrar's pending
// writes. Package recordblock decides which blocks to write. It emits transactions as
// actions and must not touch the dispatcher's queues or the table of machines in
// clusterstate.State, which follows the records.
package workerregistry
