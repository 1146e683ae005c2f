// Package siteconfig reads and validates the description of a scale run: the size and
// topology of the cluster, its load and the faults that are injected. It also derives from
// it the settings of the controllers and the names of zones and teams.
//
// A Site is not changed once it is read; the package holds no other state.
package siteconfig
