// Package results composes the result of a scale run from the reports and the measured resource
// usage of the run's processes, prints results as tables, and fits the metrics of several
// results over the number of workers.
//
// A Builder owns a result until Finish returns it. The JSON keys of results must not change, as
// stored results are read by later versions.
//
// Terms of the comments:
//   - role: the part of a run that a process performs, such as a controller or the users
//   - usage: the processor time, memory, threads and open files of a process
//   - lateness: how late the timers of a process fire, which shows an overloaded machine
//   - busy fraction: the fraction of the time of all processors in which they were not idle
//   - urgent job: a job of the class "urgent", which should start immediately
//   - traffic: messages and bytes, counted by their kind
package results
