// Package recordblock stores the records of many machines in few blocks of the key-value
// store, and decides which blocks to write so that a wave of machines costs few writes.
//
// An Index owns the blocks as they are stored. The package decides only: who may write,
// and on which conditions, is decided by package workerregistry. It must not build
// transactions or read a clock (docs/machine-records.md).
package recordblock
