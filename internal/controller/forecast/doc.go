// Package forecast estimates future load and delays from observations: how often jobs of a
// class arrive and how large they are, how long tasks run and by how much their owners'
// estimates are wrong, how long machines take to boot, and how often spot machines are
// preempted.
//
// Each type owns its own sample, which is empty in the zero value. The package makes no
// scheduling decisions and reads no clock. Callers supply random numbers.
//
// Terms: an arrival is the submission of a job, together with the jobs submitted within a
// quarter of a second after it. Its size is what the caller measures it by, its tasks or its
// work; work is run time times processors, in processor seconds. An estimate is the run time
// that a job's owner states. A boot time, as a unit, is the time that a machine takes to be
// ready for the jobs of the class.
package forecast
