// Package simulator runs a site in simulated time: the real cores of the controllers
// against models of the state service, the cloud, the network and the workers, with faults.
// A run is determined by its seed. The rules of the protocol are checked after every step.
//
// A world owns all simulated state: the timeline of events, the network with its
// partitions, the state service, the nodes with their controllers, and the workers. A
// driver drives a world by the description of a site. The package does no input or output
// but reading a site's file, and controllers' cores see nothing of it but messages.
package simulator
