// Package heartbeat decides which heartbeats of workers are answered first, and which are
// refused, when more arrive than can be answered. A worker whose heartbeats are not
// answered within its lease kills all its tasks, so the one that was answered longest ago
// goes first, and the one answered last is refused first.
//
// A Queue owns the heartbeats that wait and the times of the last answers. The package
// decides only: it reads no clock and no socket, and does not look into a heartbeat.
package heartbeat
