// Package forwarder forwards TCP connections between the regions of a scale run. It delays the
// forwarded data by the latency between the regions, holds the data back while one of the
// regions is partitioned, and counts the traffic by kind of link.
//
// It owns the listeners and connections of its links, and does not interpret the data.
//
// A link is a path from one region to a target address, with a latency and a kind of traffic. A
// partition separates a region from all others, and from users and services, for a time.
package forwarder
