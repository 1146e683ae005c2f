// Package dynamicconfig is the configuration in force: the platform's file with the
// operators' changes laid over it. It applies each revision of the followed records as a
// whole, and decides changes.
//
// The package owns the records of the configuration that a controller has read, and the
// Effective configuration that follows from them. It has no clock, sends no messages and
// writes no record: its caller executes the transaction of a Plan.
package dynamicconfig
