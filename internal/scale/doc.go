// Package scale runs a cluster of many machines in real time on one machine. The controllers are
// real; the workers, most of which share processes, the services, the users and an operator are
// simulated. Forwarders add latency and partitions between regions. Run returns the resource
// usage of each role and the violations of the rules of the protocol that users and workers
// observed.
//
// The package owns and coordinates the processes of a run. The packages below it implement what
// a process does. The package does not use the internal state of the controllers.
//
// Terms of the comments:
//   - site: the description of a run, with the cluster, its load and the faults to inject
//   - role: the part of a run that a process performs: the services, workers, users or a forwarder
//   - services: the process of the simulated state service and cloud, and of the monitor
//   - state service: the key-value store of the controllers
//   - cloud: the service that provisions, terminates and lists machines
//   - monitor: keeps the inventory of machines and collects the events of workers and users
//   - worker: the simulated agent of one machine, which runs the machine's tasks
//   - region and zone: locations of controllers and machines; each zone belongs to one region
//   - link: a path of a forwarder from one region to a target, which is the name of a controller's
//     address or of a service
//   - partition: a fault during which a region has no connection to the others and the services
package scale
