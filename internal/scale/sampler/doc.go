// Package sampler samples the processor time, memory, threads and open files of the
// processes of a scale run, and how busy the machine is, once a second.
//
// A Sampler owns the samples; it reads procfs and touches no process.
package sampler
