// Package replication sends changes of keyed state to peers rather than all of it. The
// sender numbers its changes (Log) and tracks what each receiver has (Cursor); a receiver
// accepts only ranges of changes that leave no gap after what it has (Replica). Whatever
// is lost, repeated or reordered on the way, a receiver has for every key the state as of
// its last change that the receiver's number covers: docs/design.md has the proof, and
// the tests of this package try it.
//
// The package owns the numbers only. The state itself stays with its user, who sends the
// state that a key has at that time; the package sends nothing.
package replication
