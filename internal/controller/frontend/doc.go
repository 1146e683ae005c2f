// Package frontend is the HTTP interface of a controller. It routes the requests of users,
// workers, operators and health checks, and writes their answers.
//
// It owns the actor around an admission.Admission, which decides the answers to users. The
// actor holds the pending requests and executes the calls to the key-value store and to
// peers that Admission requests. The package also owns the goroutines of operators'
// requests. Statuses and bodies of the answers are part of the service's interface and
// must stay the same byte for byte.
//
// The package reaches everything else through Controller. It must not access the state of
// the controller's core, and makes no decisions about jobs, machines or the configuration.
package frontend
