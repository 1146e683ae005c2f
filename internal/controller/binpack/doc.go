// Package binpack plans which machines to provision: it packs all work that waits
// into the machines that are up, starting or requested, and requests what is missing
// from the cheapest kinds that will do.
//
// It owns the state of one [Plan], which lives for one round of planning. The caller
// gathers the machines and the work, and sends the orders that come out to the cloud.
// The package must not read a clock, call the cloud, or know of jobs and machines by
// their names.
package binpack
