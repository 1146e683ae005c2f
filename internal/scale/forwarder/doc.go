// Package forwarder forwards TCP connections between the regions of a scale run. It delays the
// forwarded data by the latency between the regions, holds the data back while one of the
// regions is partitioned, and counts the traffic by kind of link.
//
// It owns the listeners and connections of its links, and does not interpret the data.
package forwarder
