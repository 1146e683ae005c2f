// Package monitor coordinates the processes of workers and users of a scale run. It knows
// the machines, tells worker processes what to do with them (directives), completes gangs
// once all of their tasks have started, and collects what workers and users observe.
//
// The Monitor owns this state behind one lock; its RPC methods are called by the worker and
// user processes through a Client, and it is the fleet of the run's fake cloud. It judges
// nothing: Analyze hands what was observed to package analysis.
package monitor
