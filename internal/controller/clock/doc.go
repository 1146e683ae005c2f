// Package clock defines the type of the times that a controller's decisions use. It reads
// no clock: the time comes with the messages to the core's step function.
package clock
