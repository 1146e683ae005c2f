// Package users plays the users of a scale run: they submit the jobs of the site's load,
// poll them until they end and cancel some of them. Requests go through a balancer that
// probes the controllers' health.
//
// Users owns the answers that users got until they are sent to the monitor. It knows
// nothing of workers.
package users
