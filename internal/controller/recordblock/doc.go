// Package recordblock packs the records of many machines into few blocks. A block is one
// value of the key-value store. The package decides which blocks to write, so that the
// registration of many machines at once costs few writes.
//
// An Index holds the blocks as they are stored. The package only plans writes: package
// workerregistry decides which controller may write, and on which conditions. This package
// must not build transactions or read a clock (docs/machine-records.md).
package recordblock
