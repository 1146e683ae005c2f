// Package forwarder carries TCP connections between the regions of a scale run, delays what
// passes and holds it back while one of the regions is partitioned. It counts the traffic
// by kind of link.
//
// It owns the listeners and connections of its links, and does not look into what passes.
package forwarder
