// Package users simulates the users of a scale run: they submit the jobs of the site's load,
// poll them until they end and cancel some of them. Their requests go through a load balancer
// that probes the health of the controllers.
//
// Users owns the outcomes of the users' requests until they are sent to the monitor. The
// package does not depend on workers.
//
// Terms of the comments:
//   - controller: a scheduler process that serves the requests of users
//   - probe: a request by which the load balancer checks the health of a controller
//   - poll: a request for the state of a job
//   - accepted: a job whose submission got status 200 or 201
package users
