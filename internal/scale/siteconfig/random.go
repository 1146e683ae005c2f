package siteconfig

// Streams of random numbers for the seed of a run, one for each use, so that the draws of
// one use don't depend on those of another.
const (
	StreamMonitor uint64 = iota + 1
	StreamUsers
	StreamBalancer
	StreamRun
	StreamOperator
)
