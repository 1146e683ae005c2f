// Package results composes the result of a scale run from the reports and the measured resource
// usage of the run's processes, prints results as tables, and fits the metrics of several
// results over the number of workers.
//
// A Builder owns a result until Finish returns it. The JSON keys of results must not change, as
// stored results are read by later versions.
package results
