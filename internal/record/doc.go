// Package record holds the schemas and keys of what controllers store in the key-value
// store: the view of the members, the shard table, the machines' records, the jobs'
// states and bitmaps of finished tasks, reservations and maintenance windows, and the
// dynamic configuration.
//
// The package has no state of its own. It neither reads nor writes the store: package
// kvstore does. Keys, tags and numbers of constants are those of stored data, so they
// never change; a new form of a record gets a new Layout.
package record
