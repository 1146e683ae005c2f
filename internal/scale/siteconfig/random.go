package siteconfig

// Streams of random numbers that are derived from the seed of a run. Each user of random numbers
// has its own stream, so that its draws do not depend on the number of draws of the others.
const (
	StreamMonitor uint64 = iota + 1
	StreamUsers
	StreamBalancer
	StreamRun
	StreamOperator
)
