// Package binpack plans which machines to provision: it packs all waiting work into the
// machines that are running, booting or requested, and plans additional machines of the
// cheapest suitable kinds for the rest.
//
// It owns the state of one [Plan], which lives for one round of planning. The caller
// collects the machines and the work, and sends the resulting orders to the cloud. The
// package must not read a clock, call the cloud, or identify jobs and machines by name.
package binpack
