// Package dynamicconfig maintains the configuration in force: the platform's file,
// overridden by the changes that operators make while controllers run. It applies each
// revision of the configuration records atomically, and decides on requested changes.
//
// The package owns the records of the configuration that a controller has read, and the
// Effective configuration that results from them. It has no clock, sends no messages and
// writes no record: its caller executes the transaction of a Plan.
package dynamicconfig
