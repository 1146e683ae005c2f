// Package scale runs a cluster of many machines in real time on one machine: real
// controllers, fake workers of which most share processes, fakes of the services, users and
// an operator, with latency and partitions between regions. Run returns what each role has
// used and which rules of the protocol were broken, as seen by users and workers.
//
// The package owns the processes of a run and coordinates them; what a process does is in
// the packages below. It does not look into the controllers.
package scale
