// Package operator simulates an operator who changes the configuration during a scale run, and
// measures when each change is in force at every controller.
//
// An Operator owns the changes that it has made and the times at which they came into force.
// It only uses the operator API of the controllers.
package operator
