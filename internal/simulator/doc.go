// Package simulator runs a site in simulated time: it runs the real cores of the controllers
// against models of the key-value store, the cloud, the network and the workers, and injects
// faults. The seed determines a run. The rules of the protocol are checked after every step.
//
// A world owns all simulated state: the timeline of events, the network with its
// partitions, the key-value store, the nodes with their controllers, and the workers. A
// driver drives a world as the description of a site specifies. The package does no input
// or output except reading a site file, and it interacts with the controllers' cores only
// through messages.
package simulator
