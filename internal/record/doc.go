// Package record defines the schemas and keys of the data that controllers store in the
// key-value store: the membership view, the shard table, the records of machines, the
// states of jobs and their bitmaps of finished tasks, reservations and maintenance
// windows, and the dynamic configuration.
//
// The package has no state. It neither reads nor writes the store; package kvstore does.
// Keys, tags and numbers of constants are part of the stored data and never change; a new
// form of a record gets a new Layout.
package record
