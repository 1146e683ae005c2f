// Package process starts the child processes of a scale run, each of which runs one role, and
// exchanges lines of JSON with them over their standard input and output: a Config, a Ready,
// any number of Commands and a Report. It also defines the names of roles and processes.
//
// A Child belongs to the process that started it and ends with it. The package does not
// depend on the implementations of the roles.
//
// Terms of the comments:
//   - role: the part of a run that a process performs: the services, workers, users or a forwarder
//   - forwarder: a process that forwards connections between regions, with latency
//   - link: a path of a forwarder from one region to a target address
//   - monitor: the part of the services that collects the events of workers and users
//   - coordinating process: the parent, which starts the other processes of the run
package process
