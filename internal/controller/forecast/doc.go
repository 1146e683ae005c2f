// Package forecast estimates future load and delays from observations: how often jobs of a
// class arrive and how large they are, how long tasks run and by how much their owners'
// estimates are wrong, how long machines take to boot, and how often spot machines are
// preempted.
//
// Each type owns its own sample, which is empty in the zero value. The package makes no
// scheduling decisions and reads no clock. Callers supply random numbers.
package forecast
