// Package operator plays an operator of a scale run who changes the configuration while the
// run goes on, and measures when each change is in force at every controller.
//
// An Operator owns the changes that it made and what it learned of them. It uses the
// controllers' operator API only.
package operator
