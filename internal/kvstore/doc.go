// Package kvstore is a client of the consensus-backed key-value store, the only place
// where data outlives a process: reads, compare-and-swap transactions, leases and
// watches.
//
// The comments of this package use these terms:
//   - version: of a key, a number that changes with each write of the key; 0 while it does not
//     exist;
//   - revision: the number of changes of the whole store;
//   - transaction: changes of several keys that the store makes if the versions of given keys
//     are as expected, and otherwise not at all;
//   - lease: keys can be attached to a lease, and are deleted when it ends because it was not
//     renewed in time or was revoked;
//   - watch: a request that the store answers when a key with a prefix changes, or after its
//     hold time;
//   - allotment: the requests and writes a second that this controller may send, a part of
//     which it may have borrowed from other controllers;
//   - budget: what is left of the allotment at a time; unused rates accumulate up to the burst,
//     the amount of one second.
//
// The package owns its connections to the store, and the budget of requests that this
// controller may send: its allotment of the rates that the store grants to all controllers
// together. It is independent of the records; package record defines their keys and
// schemas.
package kvstore
