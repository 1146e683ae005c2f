// Package monitor coordinates the worker and user processes of a scale run. It keeps the
// inventory of machines, sends directives about them to the worker processes, completes gangs
// once all of their tasks have started, and collects the events that workers and users
// observe.
//
// The Monitor owns this state behind one lock. The worker and user processes call its RPC
// methods through a Client, and the run's fake cloud uses it as its fleet. It checks no
// rules: Analyze passes the collected events to package analysis.
//
// Terms of the comments:
//   - worker: the simulated agent of one machine, which runs the machine's tasks
//   - worker process: an operating system process of the run that simulates workers; the shared
//     process of a zone runs all workers of the zone but one
//   - directive: an instruction of the monitor to a worker process, such as to start a machine
//   - exchange: an RPC in which a process sends its events and receives its directives
//   - listing: the address and state of a machine, as the cloud lists it
//   - gang: a job whose tasks all run at the same time
//   - attempt: the number of a start, which all tasks of a gang that start together share
//   - fault: a disturbance that the run injects, such as killed machines
package monitor
