// Package replication tracks changes of keyed state, so that a sender can replicate to its
// peers only what has changed rather than the whole state. The sender numbers its changes
// (ChangeLog) and tracks what each receiver has (Cursor); a receiver accepts only ranges
// of changes that leave no gap after what it has (Replica). Even if messages are lost,
// repeated or reordered, a receiver that has all changes up to a number has, for every
// key, a state no older than the key's last change up to that number. docs/design.md has
// the proof, and the tests of this package check the property.
//
// The comments of this package use these terms:
//   - stream: one sequence of numbered changes of a sender, which starts at 1; a new stream
//     replaces it when the numbers start again;
//   - change: the fact that the state of a key is different, without the state;
//   - range: the changes from one number to another that one message covers;
//   - acknowledgement: the number up to which the receiver has all changes, which it sends back.
//
// The package owns only the numbers. It neither stores nor sends the state: its user does,
// and sends the state that a key has at the time of sending.
package replication
