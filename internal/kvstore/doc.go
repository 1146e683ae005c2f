// Package kvstore is a client of the consensus-backed key-value store, the only place
// where data outlives a process: reads, compare-and-swap transactions, leases and
// watches.
//
// The package owns its connections to the store, and the budget of requests that this
// controller may send: its allotment of the rates that the store grants to all controllers
// together. It is independent of the records; package record defines their keys and
// schemas.
package kvstore
