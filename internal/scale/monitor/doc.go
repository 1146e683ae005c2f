// Package monitor coordinates the worker and user processes of a scale run. It keeps the
// inventory of machines, sends directives about them to the worker processes, completes gangs
// once all of their tasks have started, and collects the events that workers and users
// observe.
//
// The Monitor owns this state behind one lock. The worker and user processes call its RPC
// methods through a Client, and the run's fake cloud uses it as its fleet. It checks no
// rules: Analyze passes the collected events to package analysis.
package monitor
