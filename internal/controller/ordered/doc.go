// Package ordered iterates over maps in the order of their keys, so that a step of a
// controller's core (the handling of one message) does the same things in the same order
// each time that it is replayed.
//
// It owns no state. Entries that the loop's body deletes before the iteration reaches them
// are skipped; entries that the body adds are not visited.
package ordered
