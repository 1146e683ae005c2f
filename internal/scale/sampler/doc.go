// Package sampler samples the processor time, memory, threads and open files of the
// processes of a scale run, and the busy fraction of the machine's processors, once a second.
//
// A Sampler owns the samples. It only reads procfs and does not affect the processes.
package sampler
