// Package holds says what reservations and maintenance windows exclude from use: the
// resources held on machines, the machines in a window, and the part of a team's limit
// that its reservations claim.
//
// It follows the records of the calendar and owns, in the shared state of package
// clusterstate, the calendar, the list of holds and the open windows. The autoscaler's
// controller chooses the list, sends it to its peers and writes it to a record from which
// controllers start after all of them have ended. Everywhere else the list is a cache of
// what that controller sent last. The team claims and the jobs by class are computed
// anew once a relay period.
//
// The package must not choose holds, place tasks or write the records of reservations.
package holds
