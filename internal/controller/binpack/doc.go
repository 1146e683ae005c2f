// Package binpack plans which machines to provision: it packs all waiting work into the
// machines that are running, booting or requested, and plans additional machines of the
// cheapest suitable kinds for the rest.
//
// It owns the state of one [Plan], which lives for one round of planning. The caller
// collects the machines and the work, and sends the resulting orders to the cloud. The
// package must not read a clock, call the cloud, or identify jobs and machines by name.
//
// Terms: a kind is a machine type in a zone, spot or on-demand. A slot is a group of
// machines that are alike for a plan. A pool is the capacity of all machines of one kind,
// for tasks that may wait. An offer is a kind that may be provisioned for given tasks. A
// requested machine was requested from the cloud, which has not answered yet.
package binpack
