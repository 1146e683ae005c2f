// Package simulator runs a site in simulated time: it runs the real cores of the controllers
// against models of the key-value store, the cloud, the network and the workers, and injects
// faults. The seed determines a run. The rules of the protocol are checked after every step.
//
// A world owns all simulated state: the timeline of events, the network with its
// partitions, the key-value store, the nodes with their controllers, and the workers. A
// driver drives a world as the description of a site specifies. The package does no input
// or output except reading a site file, and it interacts with the controllers' cores only
// through messages.
//
// The comments of this package use these terms:
//   - core: the state machine that decides for one controller (controller.Core); it receives
//     messages and returns actions, which are requests to the outside such as a transaction;
//   - node, process, incarnation: a simulated controller, the run of its program from a start
//     to a crash or exit, and a counter that changes at each start and end of it;
//   - worker: the agent of a machine, which runs tasks and sends heartbeats;
//   - heartbeat, order: a worker's regular report to a controller, and an instruction to the
//     worker in the reply to it or in a command;
//   - fencing token: a number in each command and reply to a worker, which refuses commands
//     with a lower one than it has received; the field Term holds it;
//   - session, lease: a node runs under a lease of the key-value store, its session, and renews
//     it; a worker also has a lease, which heartbeats renew and its tasks do not outlive;
//   - view: the record of the controllers that are members of the cluster;
//   - shard, holder, shard table: a fixed part of the machines, the controller that sends
//     commands to their workers, and the record of all holders;
//   - attempt: one placement of a task on a machine;
//   - gang: a job whose tasks start together and run only together;
//   - occurrence: one of the periods of a recurring reservation or maintenance window;
//   - at risk: said of an occurrence for which a controller reports a reason why the
//     reservation may not be kept;
//   - final state: the state done or cancelled of a job;
//   - step: a fixed advance of the simulated time, at whose end workers, nodes and checks run;
//   - event-driven world: one in which events run at their exact times; in other worlds they
//     run at the end of the step.
package simulator
