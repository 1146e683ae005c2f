// Package heartbeat decides which workers' heartbeats are answered first, and which are
// refused, when more heartbeats arrive than can be answered. A worker whose heartbeats are
// not answered within its lease kills all its tasks. Therefore the heartbeat of the machine
// that was answered longest ago is answered first, and that of the machine that was answered
// most recently is refused first.
//
// Terms:
//   - lease of a worker: the time for which its tasks may run without an answer to a heartbeat;
//     each answer renews it.
//   - waiting heartbeat: one that is in the queue; it may have expired already.
//   - expired: has waited for so long that its worker has stopped waiting for the answer.
//   - refused: the caller answers at once with an error, which renews no lease.
//
// A Queue owns the waiting heartbeats and the times of the last answers. The package only
// makes the decision: it reads no clock and no socket, and does not inspect the contents of a
// heartbeat.
package heartbeat
