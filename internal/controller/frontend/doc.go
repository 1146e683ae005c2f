// Package frontend is the HTTP edge of a controller: it routes the requests of users,
// workers, operators and health checks, and writes their answers.
//
// It owns the actor around an admission.Admission, which decides the answers to users:
// the requests that wait, the calls to the key-value store and to peers that Admission
// asks for, and the goroutines of operators' requests. Statuses and bodies of the answers
// are part of the service's interface and stay byte for byte.
//
// Everything else it reaches through Controller. It must not touch the state of the
// controller's core, and decides nothing about jobs, machines or the configuration.
package frontend
