// Package holds determines what reservations and maintenance windows exclude from use: the
// resources held on machines, the machines in a window, and the part of a team's limit
// that its reservations claim.
//
// It follows the records of the calendar and owns, in the shared state of package
// clusterstate, the calendar, the list of holds and the open windows. The controller that
// runs the autoscaler chooses the list, sends it to its peers and writes it to a record.
// Controllers read that record when they start after all of them have ended. On every other
// controller the list is a cache of what the controller with the autoscaler sent last. The
// team claims and the jobs by class are recomputed once per replication interval.
//
// The package must not choose holds, place tasks or write the records of reservations.
//
// Terms: a hold is the resources of one machine that are held for a reservation. An
// occurrence is one period in which a reservation or a window is in effect; the current one
// of a reservation starts at the time in its record. A live job is one that has not ended. A
// team claim is the part of a team's limit that a reservation of the team will use. The
// replication interval is the time between two state updates that a controller sends to its
// peers.
package holds
