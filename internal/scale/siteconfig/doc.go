// Package siteconfig reads and validates the description of a scale run: the size and
// topology of the cluster, its load and the faults that are injected. It also derives
// the settings of the controllers and the names of zones and teams from that description.
//
// A Site is not changed after it was read; the package holds no other state.
package siteconfig
