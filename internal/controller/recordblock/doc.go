// Package recordblock packs the records of many machines into few blocks. A block is one
// value of the key-value store. The package decides which blocks to write, so that the
// registration of many machines at once costs few writes.
//
// In the comments of this package, an entry is one machine's record in a block, the epoch
// of an entry is its version, and a single record is a machine's record under a key of its
// own, outside of any block. A draft is a block with changes that are not stored yet. The
// version of a block is that of its key in the key-value store. Operations are the puts and
// deletes of one transaction. Sizes are in bytes of JSON, estimated.
//
// An Index holds the blocks as they are stored. The package only plans writes: package
// workerregistry decides which controller may write, and on which conditions. This package
// must not build transactions or read a clock (docs/machine-records.md).
package recordblock
