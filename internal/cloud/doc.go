// Package cloud is a client of the service that provisions and terminates machines.
//
// The package owns its connections and keeps to this controller's part of the cloud's
// rate of requests. Which machines to provision is decided elsewhere.
package cloud
