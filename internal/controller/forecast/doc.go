// Package forecast estimates from what was observed what is likely to come: how often jobs
// of a class arrive and how large they are, how long tasks run and by how much their
// owners' estimates are wrong, how long machines boot, and how often spot machines are
// reclaimed.
//
// Each type owns its own sample; the zero values have observed nothing. The package decides
// nothing and reads no clock; random numbers come from its callers.
package forecast
