// Package scale runs a cluster of many machines in real time on one machine. The controllers are
// real; the workers, most of which share processes, the services, the users and an operator are
// simulated. Forwarders add latency and partitions between regions. Run returns the resource
// usage of each role and the violations of the rules of the protocol that users and workers
// observed.
//
// The package owns and coordinates the processes of a run. The packages below it implement what
// a process does. The package does not use the internal state of the controllers.
package scale
