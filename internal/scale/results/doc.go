// Package results holds the result of a scale run: how it is composed of the reports and
// the measured resource usage of the run's processes, how it is printed, and how the
// metrics of several results are fitted over the number of workers.
//
// A Builder owns a result until it is finished. The JSON keys of results are stable, as
// stored results are read again.
package results
