// Package workers runs fake workers of a scale run in one process. It executes the directives of
// the monitor: it starts, kills and restarts workers, and completes or ends the gangs of their
// tasks.
//
// Workers owns the events that workers produce until they are sent to the monitor. The host of
// package fake/server owns the fake workers themselves and their connections to the
// controllers.
//
// Terms of the comments:
//   - worker: the simulated agent of one machine, which runs the machine's tasks
//   - monitor: the part of the run that decides which machines start and collects the events
//   - directive: an instruction of the monitor, such as to start a machine
//   - exchange: an RPC that sends events to the monitor and returns directives
//   - gang: a job whose tasks all run at the same time
//   - attempt: the number of a task's start
package workers
